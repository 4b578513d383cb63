// Tests of the discovery client against an agent on the loopback interface.
#include "discovery.h"

#include "loopback.h"

namespace gateway::server::test {
namespace {

// The body of a response with one host in the given state.
std::string list_body(int rev, bool all, const std::string& state) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") +
           R"(,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:81","az":"hall-a","model":"m2","pod_group":3,)"
           R"("state":")" +
           state + R"(","capacity_hint":1.5,"boot_ms":1764000000000}]})";
}

TEST(Discovery, PollsForTheCompleteListAndThenWatchesForChanges) {
    asio::io_context io;
    std::vector<std::string> responses{list_body(41, true, "ready"), list_body(43, false, "draining"),
                                       list_body(44, false, "gone")};
    Server agent(io, [&](auto& peer) {
        if (peer.request.target().size() && responses.size()) {
            peer.ok(responses.front());
            responses.erase(responses.begin());
        }
    });
    std::vector<EndpointList> lists;
    Discovery discovery(io, agent.endpoint(), [&](const EndpointList& list) { lists.push_back(list); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() == 4; }));
    EXPECT_EQ(agent.targets[0], "/catalog/members");
    EXPECT_EQ(agent.targets[1].substr(0, 25), "/catalog/members?from=41&");
    EXPECT_EQ(agent.targets[2].substr(0, 25), "/catalog/members?from=43&");
    EXPECT_EQ(agent.peers.size(), 1u);
    ASSERT_EQ(lists.size(), 3u);
    EXPECT_TRUE(lists[0].complete);
    EXPECT_FALSE(lists[1].complete);
    const Endpoint& endpoint = lists[0].endpoints.at(0);
    EXPECT_EQ(endpoint.uid, "s-1");
    EXPECT_EQ(endpoint.zone, "hall-a");
    EXPECT_EQ(endpoint.kind, "m2");
    EXPECT_EQ(endpoint.cell, 3);
    EXPECT_EQ(endpoint.weight, 1.5);
    EXPECT_EQ(endpoint.boot_ms, 1764000000000);
    EXPECT_EQ(lists[1].endpoints.at(0).state, EndpointState::draining);
    EXPECT_EQ(lists[2].endpoints.at(0).state, EndpointState::gone);
}

// Regression: no header limit applies to lines inside a chunked body. Unparsed input of an endless line grew
// until the response timed out.
TEST(Discovery, StopsReadingAnEndlessLineInAChunkedList) {
    asio::io_context io;
    tcp::acceptor agent(io, any_port());
    tcp::socket connection(io);
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    std::size_t written = 0;
    bool connection_ended = false;
    std::function<void()> write_more = [&] {
        asio::async_write(connection, asio::buffer(text), [&](error_code ec, std::size_t bytes) {
            text.assign(65536, '1');
            written += bytes;
            if (ec) connection_ended = true;
            else write_more();
        });
    };
    agent.async_accept(connection, [&](error_code ec) {
        if (!ec) write_more();
    });
    Discovery discovery(io, agent.local_endpoint(), [](const EndpointList&) {});
    ASSERT_TRUE(run_until(io, [&] { return connection_ended; }));
    EXPECT_LT(written, std::size_t{8} << 20);  // the kernel's socket buffers and little more
}

// An agent that stops responding may keep the connection open. The gateway receives later changes only if it
// polls again.
TEST(Discovery, PollsAgainAfterEachKindOfFailure) {
    asio::io_context io;
    int call = 0;
    Server agent(io, [&](auto& peer) {
        switch (++call) {
            case 1:
                return;  // sends no response
            case 2:
                return peer.close();
            case 3:
                return peer.ok("{broken");
            case 4:
                return peer.ok(R"({"rev":1,"all":true,"targets":[{"uid":"x"}]})");
            case 5:
                return peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            case 6:
                return peer.ok(list_body(5, true, "ready"));
            default:
                return;
        }
    });
    std::vector<EndpointList> lists;
    Discovery discovery(io, agent.endpoint(), [&](const EndpointList& list) { lists.push_back(list); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() >= 7; }));
    ASSERT_EQ(lists.size(), 1u);
    EXPECT_EQ(lists[0].version, 5);
}

// Regression: 48 gateways polled for complete lists ten times a second, which overloaded discovery so far
// that none of them got a list.
TEST(Discovery, BacksOffFromAnOverloadedAgentAndAsksOnlyForChanges) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> call_times;
    Server agent(io, [&](auto& peer) {
        call_times.push_back(std::chrono::steady_clock::now());
        if (call_times.size() == 1) peer.ok(list_body(7, true, "ready"));
        else if (call_times.size() < 5)
            peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
    Discovery discovery(
        io, agent.endpoint(), [](const EndpointList&) {}, {100ms, 400ms, 400ms, 40ms, 160ms}, 5);
    ASSERT_TRUE(run_until(io, [&] { return call_times.size() == 5; }));
    for (std::size_t i = 1; i < 5; ++i) EXPECT_EQ(agent.targets[i].substr(0, 24), "/catalog/members?from=7&");
    EXPECT_GE(call_times[2] - call_times[1], 20ms);
    EXPECT_GE(call_times[3] - call_times[2], 40ms);
    EXPECT_GE(call_times[4] - call_times[3], 80ms);
    EXPECT_GT(Discovery::timing_for(48, false).hold, Discovery::timing_for(4, false).hold);
    const WatchTiming large_fleet = Discovery::timing_for(300, false);
    EXPECT_LE(large_fleet.initial_backoff, large_fleet.max_backoff);
    // Regression: discovery regarded changes as delivered to a gateway whose pause between two calls was
    // longer than its settings allow.
    for (const int gateways : {4, 25, 300}) {
        const WatchTiming limited = Discovery::timing_for(gateways, false, 200ms);
        EXPECT_LT(limited.max_response_timeout + limited.max_backoff, 800ms);
        EXPECT_LE(limited.response_timeout, limited.max_response_timeout);
        EXPECT_LE(limited.initial_backoff, limited.max_backoff);
    }
}

// Regression: after their watches had been reset, six gateways abandoned each poll after 400 ms and polled
// again. Discovery kept working on the abandoned calls and left four of the gateways without an answer
// for 24 s.
TEST(Discovery, WaitsForAnOverloadedAgentInsteadOfPollingAgain) {
    asio::io_context io;
    std::vector<std::unique_ptr<asio::steady_timer>> delayed_responses;
    Server agent(io, [&](Server::Peer& peer) {
        delayed_responses.push_back(
            std::make_unique<asio::steady_timer>(io, 700ms));  // longer than the first response timeout
        delayed_responses.back()->async_wait([peer = peer.shared_from_this()](error_code) {
            if (!peer->closed) peer->ok(list_body(7, true, "ready"));
        });
    });
    bool second_list_received = false;
    Discovery discovery(io, agent.endpoint(),
                        [&](const EndpointList&) { second_list_received = delayed_responses.size() >= 2; });
    EXPECT_TRUE(run_until(io, [&] { return second_list_received; }));
    EXPECT_EQ(agent.targets[0], "/catalog/members");
    EXPECT_EQ(agent.targets[1].substr(0, 24), "/catalog/members?from=7&");  // a new call and not a repetition
    EXPECT_EQ(delayed_responses.size(), 2u);
    const WatchTiming timing = Discovery::timing_for(6, false);
    // Discovery regards a change as delivered 6 s after it has the change and can be reached, whatever calls
    // failed before.
    EXPECT_LT(timing.max_backoff + timing.max_response_timeout, 6s);
}

// Regression: 300 gateways waited for 1.5 to 3 s after a watch timed out and for up to 2 s between polls,
// while the changes that the agent had were already regarded as delivered.
TEST(Discovery, PollsAnAgentWithPushedListsAgainWithoutABackoff) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> call_times;
    Server agent(io, [&](auto& peer) {
        call_times.push_back(std::chrono::steady_clock::now());
        if (call_times.size() == 1 || call_times.size() == 6)
            peer.ok(list_body(static_cast<int>(call_times.size()), true, "ready"));
        else if (call_times.size() == 5) peer.close();
    });
    std::vector<EndpointList> lists;
    WatchTiming timing = Discovery::timing_for(300, true);
    timing.hold = 20ms;
    Discovery discovery(
        io, agent.endpoint(), [&](const EndpointList& list) { lists.push_back(list); }, timing, 5);
    ASSERT_TRUE(run_until(io, [&] { return call_times.size() == 7; }));
    EXPECT_LT(call_times[4] - call_times[1], 3s);      // no response: three response timeouts
    EXPECT_LT(call_times[5] - call_times[4], 1400ms);  // connection closed by the agent
    EXPECT_EQ(agent.targets[1], "/catalog/members?from=1&hold_ms=20");
    // With a hold time of 0 the agent answers without delay when it responds again, even without a change.
    for (std::size_t i = 2; i < 5; ++i) EXPECT_EQ(agent.targets[i], "/catalog/members?from=1&hold_ms=0");
    EXPECT_EQ(agent.targets[5], "/catalog/members");
    EXPECT_EQ(agent.targets[6], "/catalog/members?from=6&hold_ms=20");
    EXPECT_EQ(lists.size(), 2u);
}

// Discovery regards the changes that a watch misses as delivered 6 s after the agent stopped responding. The
// first call after the timeout is therefore made without a backoff, even if polls are expensive for
// discovery.
TEST(Discovery, PollsWithoutABackoffAfterAWatchTimesOut) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> call_times;
    Server agent(io, [&](auto& peer) {
        call_times.push_back(std::chrono::steady_clock::now());
        if (call_times.size() == 1) peer.ok(list_body(7, true, "ready"));
    });
    Discovery discovery(
        io, agent.endpoint(), [](const EndpointList&) {}, {50ms, 40ms, 40ms, 15s, 15s}, 5);
    ASSERT_TRUE(run_until(io, [&] { return call_times.size() == 3; }));
    EXPECT_LT(call_times[2] - call_times[1], 7s);
    EXPECT_EQ(agent.targets[2], "/catalog/members?from=7&hold_ms=50");
}

// Regression: a list over 1 MB, of 6,500 hosts, was never accepted.
TEST(Discovery, AcceptsTheListOfALargeFleet) {
    asio::io_context io;
    std::string targets;
    constexpr int hosts = 20000;
    for (int host = 0; host < hosts; ++host)
        targets.append(host > 0 ? "," : "")
            .append(R"({"uid":"s-)")
            .append(std::to_string(1000000 + host))
            .append(R"(","endpoint":"127.0.0.1:81","az":"hall-a","model":"m2","pod_group":3,"state":"ready",)"
                    R"("capacity_hint":1,"boot_ms":1764000000000})");
    Server agent(io, [&](auto& peer) {
        if (peer.request.target().find("from=") == std::string::npos)
            peer.ok(R"({"rev":1,"all":true,"targets":[)" + targets + "]}");
    });
    std::size_t endpoints_received = 0;
    Discovery discovery(io, agent.endpoint(),
                        [&](const EndpointList& list) { endpoints_received = list.endpoints.size(); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() >= 2; }));
    EXPECT_EQ(endpoints_received, static_cast<std::size_t>(hosts));
}

// Regression: the response timeout applied to the complete response, and a list that took longer to arrive
// was never accepted.
TEST(Discovery, AcceptsASlowListWhilePartsOfItKeepArriving) {
    asio::io_context io;
    const std::string body = list_body(7, true, "ready");
    constexpr std::size_t pieces = 6;
    std::size_t pieces_sent = 0;
    asio::steady_timer next_piece_timer(io);
    std::function<void(Server::Peer&)> send_piece = [&](Server::Peer& peer) {
        if (peer.closed || pieces_sent == pieces) return;
        peer.send(body.substr(pieces_sent * body.size() / pieces,
                              (pieces_sent + 1) * body.size() / pieces - pieces_sent * body.size() / pieces));
        ++pieces_sent;
        next_piece_timer.expires_after(60ms);
        next_piece_timer.async_wait([&, peer = peer.shared_from_this()](error_code) { send_piece(*peer); });
    };
    Server agent(io, [&](Server::Peer& peer) {
        if (pieces_sent > 0) return;
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        send_piece(peer);
    });
    bool received = false;
    Discovery discovery(
        io, agent.endpoint(), [&](const EndpointList&) { received = true; }, {50ms, 250ms, 250ms, 15s, 15s},
        5);
    ASSERT_TRUE(run_until(io, [&] { return received; }));
}

}  // namespace
}  // namespace gateway::server::test

#include "discovery.h"

#include "loopback.h"

namespace gateway::server::test {
namespace {

std::string list(int rev, bool all, const std::string& state) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") +
           R"(,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:81","az":"hall-a","model":"m2","pod_group":3,)"
           R"("state":")" +
           state + R"(","capacity_hint":1.5,"boot_ms":1764000000000}]})";
}

TEST(Discovery, AsksForAllAndThenForWhatIsNewer) {
    asio::io_context io;
    std::vector<std::string> answers{list(41, true, "ready"), list(43, false, "draining"),
                                     list(44, false, "gone")};
    Server agent(io, [&](auto& p) {
        if (p.request.target().size() && answers.size()) {
            p.ok(answers.front());
            answers.erase(answers.begin());
        }
    });
    std::vector<EndpointList> lists;
    Discovery watch(io, agent.endpoint(), [&](const EndpointList& l) { lists.push_back(l); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() == 4; }));
    EXPECT_EQ(agent.targets[0], "/catalog/members");
    EXPECT_EQ(agent.targets[1].substr(0, 25), "/catalog/members?from=41&");
    EXPECT_EQ(agent.targets[2].substr(0, 25), "/catalog/members?from=43&");
    EXPECT_EQ(agent.peers.size(), 1u);
    ASSERT_EQ(lists.size(), 3u);
    EXPECT_TRUE(lists[0].complete);
    EXPECT_FALSE(lists[1].complete);
    const Endpoint& t = lists[0].endpoints.at(0);
    EXPECT_EQ(t.uid, "s-1");
    EXPECT_EQ(t.zone, "hall-a");
    EXPECT_EQ(t.kind, "m2");
    EXPECT_EQ(t.cell, 3);
    EXPECT_EQ(t.weight, 1.5);
    EXPECT_EQ(t.boot_ms, 1764000000000);
    EXPECT_EQ(lists[1].endpoints.at(0).state, EndpointState::draining);
    EXPECT_EQ(lists[2].endpoints.at(0).state, EndpointState::gone);
}

// The same fault as with clients and hosts, but for the bound: what stood unread grew until the time was
// over.
TEST(Discovery, AnEndlessLineInAChunkedListIsNotReadOn) {
    asio::io_context io;
    tcp::acceptor agent(io, any_port());
    tcp::socket connection(io);
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    std::size_t written = 0;
    bool ended = false;
    std::function<void()> write_on = [&] {
        asio::async_write(connection, asio::buffer(text), [&](error_code ec, std::size_t n) {
            text.assign(65536, '1');
            written += n;
            if (ec) ended = true;
            else write_on();
        });
    };
    agent.async_accept(connection, [&](error_code ec) {
        if (!ec) write_on();
    });
    Discovery watch(io, agent.local_endpoint(), [](const EndpointList&) {});
    ASSERT_TRUE(run_until(io, [&] { return ended; }));
    EXPECT_LT(written, std::size_t{8} << 20);  // as much as stands in the kernel's buffers, and little more
}

// An agent that has fallen silent keeps its connection open: only asking again brings the news it gets later.
TEST(Discovery, ASilentOrBrokenAgentIsAskedAgain) {
    asio::io_context io;
    int call = 0;
    Server agent(io, [&](auto& p) {
        switch (++call) {
            case 1:
                return;  // silent
            case 2:
                return p.close();
            case 3:
                return p.ok("{broken");
            case 4:
                return p.ok(R"({"rev":1,"all":true,"targets":[{"uid":"x"}]})");
            case 5:
                return p.say("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            case 6:
                return p.ok(list(5, true, "ready"));
            default:
                return;
        }
    });
    std::vector<EndpointList> lists;
    Discovery watch(io, agent.endpoint(), [&](const EndpointList& l) { lists.push_back(l); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() >= 7; }));
    ASSERT_EQ(lists.size(), 1u);
    EXPECT_EQ(lists[0].version, 5);
}

// Found on day 5 of the full score: 48 gateways asked for whole lists ten times a second, and none heard a
// thing.
TEST(Discovery, AmongManyOneThatHasNoRoomIsAskedLessAndLessForWhatIsNewer) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> at;
    Server agent(io, [&](auto& p) {
        at.push_back(std::chrono::steady_clock::now());
        if (at.size() == 1) p.ok(list(7, true, "ready"));
        else if (at.size() < 5) p.say("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
    Discovery watch(
        io, agent.endpoint(), [](const EndpointList&) {}, {100ms, 400ms, 400ms, 40ms, 160ms}, 5);
    ASSERT_TRUE(run_until(io, [&] { return at.size() == 5; }));
    for (std::size_t i = 1; i < 5; ++i) EXPECT_EQ(agent.targets[i].substr(0, 24), "/catalog/members?from=7&");
    EXPECT_GE(at[2] - at[1], 20ms);
    EXPECT_GE(at[3] - at[2], 40ms);
    EXPECT_GE(at[4] - at[3], 80ms);
    EXPECT_GT(Discovery::timing_for(48, false).hold, Discovery::timing_for(4, false).hold);
    const WatchTiming of_many = Discovery::timing_for(300, false);
    EXPECT_LE(of_many.initial_backoff, of_many.max_backoff);
    // Found on harbor-yard's throng day: a gateway that paused longer than its settings allow counted as
    // told.
    for (const int gateways : {4, 25, 300}) {
        const WatchTiming bound = Discovery::timing_for(gateways, false, 200ms);
        EXPECT_LT(bound.max_response_timeout + bound.max_backoff, 800ms);
        EXPECT_LE(bound.response_timeout, bound.max_response_timeout);
        EXPECT_LE(bound.initial_backoff, bound.max_backoff);
    }
}

// Found on harbor-yard's short days: after their watches had been reset, six gateways gave up their calls
// after 400 ms each and asked again, and discovery, still at work on those given up, answered none of four
// for 24 s.
TEST(Discovery, AnOverloadedAgentIsWaitedForAndNotAskedAgain) {
    asio::io_context io;
    std::vector<std::unique_ptr<asio::steady_timer>> work;
    Server agent(io, [&](Server::Peer& p) {
        work.push_back(std::make_unique<asio::steady_timer>(io, 700ms));  // longer than the first patience
        work.back()->async_wait([peer = p.shared_from_this()](error_code) {
            if (!peer->closed) peer->ok(list(7, true, "ready"));
        });
    });
    bool told = false;
    Discovery watch(io, agent.endpoint(), [&](const EndpointList&) { told = work.size() >= 2; });
    EXPECT_TRUE(run_until(io, [&] { return told; }));
    EXPECT_EQ(agent.targets[0], "/catalog/members");
    EXPECT_EQ(agent.targets[1].substr(0, 24), "/catalog/members?from=7&");  // not the same call again
    EXPECT_EQ(work.size(), 2u);
    const WatchTiming timing = Discovery::timing_for(6, false);
    // News count as told 6 s after discovery had them and could be reached, whatever failed before.
    EXPECT_LT(timing.max_backoff + timing.max_response_timeout, 6s);
}

// Found on the large days: 300 gateways waited for 1.5 to 3 s after a silent watch and for up to 2 s between
// asks, while all that the agent had counted as told.
TEST(Discovery, AnAgentThatHasPushedListsIsAskedAgainWithoutAPause) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> at;
    Server agent(io, [&](auto& p) {
        at.push_back(std::chrono::steady_clock::now());
        if (at.size() == 1 || at.size() == 6) p.ok(list(static_cast<int>(at.size()), true, "ready"));
        else if (at.size() == 5) p.close();
    });
    std::vector<EndpointList> lists;
    WatchTiming timing = Discovery::timing_for(300, true);
    timing.hold = 20ms;
    Discovery watch(
        io, agent.endpoint(), [&](const EndpointList& l) { lists.push_back(l); }, timing, 5);
    ASSERT_TRUE(run_until(io, [&] { return at.size() == 7; }));
    EXPECT_LT(at[4] - at[1], 3s);      // silent: three times its patience
    EXPECT_LT(at[5] - at[4], 1400ms);  // closed
    EXPECT_EQ(agent.targets[1], "/catalog/members?from=1&hold_ms=20");
    // Whether it is back shows at once, with news or without.
    for (std::size_t i = 2; i < 5; ++i) EXPECT_EQ(agent.targets[i], "/catalog/members?from=1&hold_ms=0");
    EXPECT_EQ(agent.targets[5], "/catalog/members");
    EXPECT_EQ(agent.targets[6], "/catalog/members?from=6&hold_ms=20");
    EXPECT_EQ(lists.size(), 2u);
}

// What it misses counts as told 6 s after it fell silent.
TEST(Discovery, ASilentWatchIsOpenedAnewAtOnceWhereAsksCostToo) {
    asio::io_context io;
    std::vector<std::chrono::steady_clock::time_point> at;
    Server agent(io, [&](auto& p) {
        at.push_back(std::chrono::steady_clock::now());
        if (at.size() == 1) p.ok(list(7, true, "ready"));
    });
    Discovery watch(
        io, agent.endpoint(), [](const EndpointList&) {}, {50ms, 40ms, 40ms, 15s, 15s}, 5);
    ASSERT_TRUE(run_until(io, [&] { return at.size() == 3; }));
    EXPECT_LT(at[2] - at[1], 7s);
    EXPECT_EQ(agent.targets[2], "/catalog/members?from=7&hold_ms=50");
}

// A list over 1 MB, of 6,500 hosts, was never taken.
TEST(Discovery, TakesTheListOfALargeFleet) {
    asio::io_context io;
    std::string targets;
    constexpr int hosts = 20000;
    for (int host = 0; host < hosts; ++host)
        targets.append(host > 0 ? "," : "")
            .append(R"({"uid":"s-)")
            .append(std::to_string(1000000 + host))
            .append(R"(","endpoint":"127.0.0.1:81","az":"hall-a","model":"m2","pod_group":3,"state":"ready",)"
                    R"("capacity_hint":1,"boot_ms":1764000000000})");
    Server agent(io, [&](auto& p) {
        if (p.request.target().find("from=") == std::string::npos)
            p.ok(R"({"rev":1,"all":true,"targets":[)" + targets + "]}");
    });
    std::size_t taken = 0;
    Discovery watch(io, agent.endpoint(), [&](const EndpointList& l) { taken = l.endpoints.size(); });
    ASSERT_TRUE(run_until(io, [&] { return agent.targets.size() >= 2; }));
    EXPECT_EQ(taken, static_cast<std::size_t>(hosts));
}

// With patience for the whole answer, a list that takes longer than that was never taken.
TEST(Discovery, WaitsForAListAsLongAsItGoesOn) {
    asio::io_context io;
    const std::string body = list(7, true, "ready");
    constexpr std::size_t pieces = 6;
    std::size_t told = 0;
    asio::steady_timer next(io);
    std::function<void(Server::Peer&)> tell_piece = [&](Server::Peer& p) {
        if (p.closed || told == pieces) return;
        p.say(body.substr(told * body.size() / pieces,
                          (told + 1) * body.size() / pieces - told * body.size() / pieces));
        ++told;
        next.expires_after(60ms);
        next.async_wait([&, peer = p.shared_from_this()](error_code) { tell_piece(*peer); });
    };
    Server agent(io, [&](Server::Peer& p) {
        if (told > 0) return;
        p.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        tell_piece(p);
    });
    bool taken = false;
    Discovery watch(
        io, agent.endpoint(), [&](const EndpointList&) { taken = true; }, {50ms, 250ms, 250ms, 15s, 15s}, 5);
    ASSERT_TRUE(run_until(io, [&] { return taken; }));
}

}  // namespace
}  // namespace gateway::server::test

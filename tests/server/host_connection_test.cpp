// Tests of one exchange with a host: the request, its delivery, and the outcome of the attempt.
#include <thread>

#include "host_pool_fixture.h"

namespace gateway::server::test {
namespace {

// Returns a listener whose connections accept only some kilobytes that are not read.
tcp::acceptor listen_with_small_buffer(asio::io_context& io) {
    tcp::acceptor listener(io);
    listener.open(tcp::v4());
    listener.set_option(asio::socket_base::receive_buffer_size(4096));
    listener.bind(any_port());
    listener.listen();
    return listener;
}

TEST_F(HostPoolTest, ForwardsTheRequestAndTheResponse) {
    Steady::time_point received_at;
    Server host(io, [&](auto& peer) {
        received_at = Steady::now();
        peer.ok("body");
    });
    update_host(host.endpoint());
    const auto sent_at = Steady::now();
    send(1, 480ms);
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::success);
    EXPECT_EQ(results[0].result.answer.body(), "body");
    EXPECT_EQ(host.targets[0], "/api?q=1");
    EXPECT_EQ(host.requests[0]["X-Trace-Id"], "t1");
    // The header has the time left at the write, which came before the host received the request.
    const std::string header(host.requests[0]["X-Expires-In-Ms"]);
    const std::chrono::milliseconds time_left(std::stoi(header));
    EXPECT_EQ(header, std::to_string(time_left.count()));
    EXPECT_LE(time_left, 480ms);
    EXPECT_GE(time_left, std::chrono::ceil<std::chrono::milliseconds>(480ms - (received_at - sent_at)));
}

// Regression: the last byte of a long request had been written, but the handler of the write was queued
// behind others. An endpoint list that was handled in between ended the attempt as not executed. In this test
// the host reads in steps and drains as soon as it has received the complete request.
TEST_F(HostPoolTest, ADrainDoesNotEndAnAttemptWhoseRequestIsWritten) {
    tcp::acceptor listener(io, any_port());
    update_host(listener.local_endpoint());
    Request message(http::verb::post, "/api", 11);
    message.set("X-Trace-Id", "t1");
    message.body().assign(std::size_t{16} << 20, 'x');
    message.prepare_payload();
    pool().attempt({1, 0}, "h", message, 15s);
    tcp::socket host = listener.accept();
    host.non_blocking(true);
    std::string read_buffer(std::size_t{1} << 20, ' ');
    std::string received;
    bool complete = false;
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!complete && std::chrono::steady_clock::now() < deadline) {
        asio::post(io, [&] {  // runs before the handlers of the events that this poll finds
            error_code ec;
            for (std::size_t bytes = 1; bytes > 0 && !ec; received.append(read_buffer, 0, bytes))
                bytes = host.read_some(asio::buffer(read_buffer), ec);
            const std::size_t header_end = received.find("\r\n\r\n");
            complete =
                header_end != std::string::npos && received.size() == header_end + 4 + message.body().size();
            if (complete) update_host(listener.local_endpoint(), EndpointState::draining);
        });
        io.restart();
        io.poll_one();
    }
    ASSERT_TRUE(complete);
    EXPECT_TRUE(results.empty());
    host.close();
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::reset);
}

// Regression: X-Expires-In-Ms contained the time left at the start of the connect. In this test the connect
// succeeds immediately, but the event loop runs its handler late.
TEST_F(HostPoolTest, TheTimeLeftHeaderExcludesTheTimeOfTheConnect) {
    Server host(io, [](auto& peer) { peer.ok("body"); });
    update_host(host.endpoint());
    send(1, 480ms);
    const auto handler_runs_at = std::chrono::steady_clock::now() + 180ms;
    std::this_thread::sleep_until(handler_runs_at);
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_LE(std::stoi(std::string(host.requests.at(0)["X-Expires-In-Ms"])), 300);
    EXPECT_GT(std::stoi(std::string(host.requests.at(0)["X-Expires-In-Ms"])), 0);
}

TEST_F(HostPoolTest, ResponsesAndFailuresMapToOutcomes) {
    EXPECT_EQ(outcome([](auto& peer) { peer.send("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"); }),
              HostOutcome::error);
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
              }),
              HostOutcome::rejected);
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
              }),
              HostOutcome::rejected);
    EXPECT_EQ(outcome([](auto& peer) { peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"); }),
              HostOutcome::error);
    EXPECT_EQ(outcome([](auto& peer) { peer.close(); }), HostOutcome::reset);
    EXPECT_EQ(outcome([](auto& peer) { peer.reset(); }), HostOutcome::reset);
    EXPECT_EQ(outcome([](auto&) {}, 30ms), HostOutcome::timeout);
    EXPECT_EQ(outcome([](auto& peer) { peer.send("SSH-2.0-nothing to do with this\r\n\r\n"); }),
              HostOutcome::error);
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 100 Continue\r\n\r\n");
                  peer.ok("late");
              }),
              HostOutcome::success);
    EXPECT_EQ(
        outcome([](auto& peer) {
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        }),
        HostOutcome::success);
    EXPECT_EQ(results.back().result.answer.body(), "abc");
}

// Regression: an endless line in a chunked response of a host ended the process. Requests of clients had the
// same fault.
TEST_F(HostPoolTest, AnEndlessLineInAChunkedResponseFailsOnlyItsAttempt) {
    const std::string endless(200'000, '1');
    for (const std::string& line : {endless, "1;" + endless, "0\r\nX-Trailer: " + endless})
        EXPECT_EQ(outcome([&](auto& peer) {
                      peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line);
                  }),
                  HostOutcome::error)
            << line.substr(0, 20);
    EXPECT_EQ(outcome([](auto& peer) { peer.ok("served"); }), HostOutcome::success);
}

// Regression: the bodies of error responses, which nobody uses, were held in memory up to 32 MiB for each
// attempt. Responses that never ended took the process over its memory limit.
TEST_F(HostPoolTest, AnErrorResponseThatNeverEndsFailsItsAttemptEarly) {
    const std::string endless(200'000, 'e');
    for (const std::string& head :
         {std::string("500 X\r\nTransfer-Encoding: chunked\r\n"), std::string("500 X\r\n"),
          std::string("404 X\r\nContent-Length: 30000000\r\n"),
          std::string("503 X\r\nX-Never-Ran: 1\r\nTransfer-Encoding: chunked\r\n")}) {
        const std::string body = head.find("chunked") == head.npos ? endless : as_chunk(endless);
        const auto began_at = Steady::now();
        EXPECT_EQ(outcome([&](auto& peer) { peer.send("HTTP/1.1 " + head + "\r\n" + body); }),
                  HostOutcome::error)
            << head;
        EXPECT_LT(Steady::now() - began_at, 5s) << head;
    }
}

// Regression: a health check's long response was streamed as if it were the response to the attempt that the
// connection had carried before, to whose request it could become the answer.
TEST_F(HostPoolTest, ALongResponseToAHealthCheckIsNotForwarded) {
    bool response_started = false;
    HostPool::Callbacks callbacks;
    callbacks.on_attempt_result = [&](const auto& key, const auto& uid, auto&& result) {
        results.push_back({key, uid, std::move(result)});
    };
    callbacks.on_health_check_result = [&](const auto& uid, auto&& result) {
        health_checks.push_back({{}, uid, std::move(result)});
    };
    callbacks.on_response_started = [&](const auto&, const auto&, auto&&) { return response_started = true; };
    created.emplace(io, budget, 15s, host_idle_timeout, std::move(callbacks), min_idle_time);
    Server host(io, [](auto& peer) {
        if (peer.request.target() == "/_load") peer.ok(std::string(200'000, 'h'));
        else peer.ok("served");
    });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return !health_checks.empty(); }));
    EXPECT_EQ(host.peers.size(), 1u);  // the same connection
    EXPECT_EQ(health_checks[0].result.outcome, HostOutcome::error);
    EXPECT_FALSE(response_started);
}

// Regression: nothing ended a retry whose host still read the request when the deduplication window was over,
// so that hosts executed a request with an idempotency key twice.
TEST_F(HostPoolTest, ARequestThatIsNotDeliveredInTimeNeverArrivesCompletely) {
    constexpr std::size_t long_body_bytes = std::size_t{4} << 20;
    struct Case {
        std::size_t body_bytes;
        bool cancelled;
    };
    for (const auto& [body_bytes, cancelled] : {Case{60'000, false}, Case{long_body_bytes, false},
                                                Case{60'000, true}, Case{long_body_bytes, true}}) {
        tcp::acceptor listener = listen_with_small_buffer(io);
        update_host(listener.local_endpoint());
        const std::size_t before = results.size();
        send_body(before + 1, body_bytes, cancelled ? 10s : 100ms);
        tcp::socket host = listener.accept();
        if (cancelled) {
            EXPECT_FALSE(run_for(50ms, before));
            pool().cancel({before + 1, 0});
        }
        ASSERT_TRUE(run_until(io, [&] { return results.size() > before; }));
        EXPECT_EQ(results.back().result.outcome, cancelled ? HostOutcome::cancelled : HostOutcome::timeout);
        EXPECT_GE(results.back().result.elapsed, cancelled ? 50ms : 100ms);
        EXPECT_LT(results.back().result.elapsed, 5s);
        std::string received;
        error_code ec;
        asio::read(host, asio::dynamic_buffer(received), ec);
        EXPECT_EQ(ec, asio::error::connection_reset);
        EXPECT_LT(received.size(), body_bytes);
    }
}

// Regression: the rest of a request reached a slow reader after its attempt had been cancelled because its
// client had left.
TEST_F(HostPoolTest, ACancelledRequestThatItsHostReadsSlowlyNeverArrivesCompletely) {
    constexpr std::size_t body_bytes = 60'000;
    tcp::acceptor listener = listen_with_small_buffer(io);
    update_host(listener.local_endpoint());
    send_body(1, body_bytes, {});
    tcp::socket host = listener.accept();
    EXPECT_FALSE(run_for(50ms));
    pool().cancel({1, 0});
    ASSERT_EQ(results.size(), 1u);
    std::string received;
    error_code ec;
    asio::read(host, asio::dynamic_buffer(received), ec);
    EXPECT_EQ(ec, asio::error::connection_reset);
    EXPECT_LT(received.size(), body_bytes);
}

TEST_F(HostPoolTest, ARequestThatIsDeliveredInTimeMayBeAnsweredLater) {
    tcp::acceptor listener(io, any_port());
    update_host(listener.local_endpoint());
    send_body(1, 60'000, 100ms);
    tcp::socket host = listener.accept();
    host.non_blocking(true);
    std::string received;
    error_code ec;
    ASSERT_TRUE(run_until(io, [&] {
        asio::read(host, asio::dynamic_buffer(received), ec);
        return received.ends_with("xx") && received.size() > 60'000;
    }));
    EXPECT_FALSE(run_for(300ms));
    asio::write(host, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::success);
}

TEST_F(HostPoolTest, InterimResponsesAreSkippedUpToTheLimit) {
    const std::string interim = "HTTP/1.1 103 Early\r\nX: y\r\n\r\n";
    EXPECT_EQ(outcome([&](auto& peer) {
                  peer.send(interim + interim);
                  peer.ok("body");
              }),
              HostOutcome::success);
    EXPECT_EQ(results.back().result.answer.body(), "body");
    EXPECT_EQ(outcome([&](auto& peer) {
                  for (int i = 0; i < 100; ++i) peer.send(interim);
              }),
              HostOutcome::error);
    EXPECT_EQ(outcome([&](auto& peer) {
                  peer.send("HTTP/1.1 101 S\r\n\r\n");
                  peer.ok("other");
              }),
              HostOutcome::error);
}

TEST_F(HostPoolTest, AResponseWithAnAmbiguousLengthIsAnError) {
    for (const char* fields :
         {"Content-Length: 2\r\nContent-Length: 2\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Content-Length: 3000000000\r\n", "Content-Length: 9000000000000000000\r\n",
          "Content-Length: -2\r\n"})
        EXPECT_EQ(outcome([&](auto& peer) {
                      peer.send(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n2\r\nab\r\n0\r\n\r\n");
                  }),
                  HostOutcome::error)
            << fields;
}

// A truncated body must never be treated as complete. A body without a length is complete at the end of the
// stream, unless the connection is reset.
TEST_F(HostPoolTest, AnAttemptWithAPossiblyIncompleteBodyEndsAsReset) {
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                  peer.close();
              }),
              HostOutcome::reset);
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 200 OK\r\n\r\nwho knows");
                  peer.reset();
              }),
              HostOutcome::reset);
    EXPECT_EQ(outcome([](auto& peer) {
                  peer.send("HTTP/1.1 200 OK\r\n\r\nall of it");
                  peer.close();
              }),
              HostOutcome::success);
    EXPECT_EQ(results.back().result.answer.body(), "all of it");
}

TEST_F(HostPoolTest, RefusedAndTimedOutConnectsHaveTheOutcomeConnectFailed) {
    tcp::endpoint closed_address;
    {
        tcp::acceptor closed_listener(io, any_port());
        closed_address = closed_listener.local_endpoint();
    }
    update_host(closed_address);
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::connect_failed);
    UnreachableServer silent(io);
    update_host(silent.endpoint());
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[1].result.outcome, HostOutcome::connect_failed);
}

}  // namespace
}  // namespace gateway::server::test

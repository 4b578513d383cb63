// Tests of the host pool: reuse and close of connections, endpoint lists, the socket budget, health checks.
#include "host_pool_fixture.h"

namespace gateway::server::test {
namespace {

// Bytes after a response must not be parsed as the response to the next request.
TEST_F(HostPoolTest, AConnectionWithSurplusBytesIsNotReused) {
    int call = 0;
    Server host(io, [&](auto& peer) {
        peer.ok("own" + std::to_string(++call));
        if (call == 1) peer.ok("copy");  // a separate packet, which may still be in the kernel's buffer
        if (call == 2) peer.send("noise");
    });
    update_host(host.endpoint());
    for (std::uint64_t id = 1; id <= 3; ++id) {
        send(id);
        ASSERT_TRUE(run_until(io, [&] { return results.size() == id; }));
        EXPECT_EQ(results.back().result.outcome, HostOutcome::success);
        EXPECT_EQ(results.back().result.answer.body(), "own" + std::to_string(id));
    }
    EXPECT_EQ(host.peers.size(), 3u);
}

// A duplicate response arrives while the connection is idle, and the next request is sent before the event
// loop has run the handler of the read.
TEST_F(HostPoolTest, UnreadBytesOnAnIdleConnectionAreDetectedBeforeReuse) {
    int call = 0;
    Server host(io, [&](auto& peer) { peer.ok("own" + std::to_string(++call)); });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    host.peers[0]->ok("copy");
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[1].result.answer.body(), "own2");
}

// Regression: a host sent a duplicate response 1 to 3 ms after the first one. A third of the requests were
// sent within 1 ms of the previous response on the same connection, so that the duplicate could be taken for
// their response.
TEST_F(HostPoolTest, ADuplicateResponseIsNotTakenForTheNextResponse) {
    min_idle_time = 10s;
    Server::Peer* first_peer = nullptr;
    Server host(io, [&](auto& peer) {
        if (std::exchange(first_peer, &peer) == nullptr) peer.ok("own1");
    });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 2; }));
    host.peers[0]->ok("copy");
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2 || host.peers[0]->closed; }));
    ASSERT_EQ(results.size(), 1u);
    first_peer->ok("own2");
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[1].result.answer.body(), "own2");
}

// Regression: a host answered a health check twice, and a request that was sent in between on the same
// connection was served with the second answer.
TEST_F(HostPoolTest, ADuplicateHealthCheckResponseIsNotTakenForTheNextResponse) {
    min_idle_time = 10s;
    Server host(io, [&](auto& peer) {
        if (peer.request.target() == "/_load") peer.ok("health");
    });
    update_host(host.endpoint());
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return health_checks.size() == 1; }));
    send(1);
    EXPECT_FALSE(run_for(50ms));
    host.peers[0]->ok("health");
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::withdrawn);
    EXPECT_EQ(host.requests.size(), 1u);
}

TEST_F(HostPoolTest, ARequestAfterAHealthCheckWaitsForTheMinimumIdleTime) {
    min_idle_time = 60ms;
    std::vector<Steady::time_point> received_at;
    Server host(io, [&](auto& peer) {
        received_at.push_back(Steady::now());
        peer.ok("own");
    });
    update_host(host.endpoint());
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return health_checks.size() == 1; }));
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::success);
    ASSERT_EQ(received_at.size(), 2u);
    EXPECT_GE(received_at[1] - received_at[0], min_idle_time);
    EXPECT_EQ(host.peers.size(), 1u);
}

TEST_F(HostPoolTest, TheWaitForTheMinimumIdleTimeEndsWithTheTimeOfTheAttempt) {
    min_idle_time = 10s;
    Server host(io, [](auto& peer) { peer.ok("own"); });
    update_host(host.endpoint());
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return health_checks.size() == 1; }));
    send(1, 20ms);
    ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
    EXPECT_EQ(results[0].result.outcome, HostOutcome::withdrawn);
    EXPECT_EQ(host.requests.size(), 1u);
}

TEST_F(HostPoolTest, ReusesTheMostRecentlyUsedConnection) {
    Server host(io, [](auto& peer) { peer.ok(""); });
    update_host(host.endpoint());
    send(1);
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    for (std::uint64_t id = 3; id < 8; ++id) {
        send(id);
        ASSERT_TRUE(run_until(io, [&] { return results.size() == id; }));
        EXPECT_EQ(results.back().result.outcome, HostOutcome::success);
    }
    EXPECT_EQ(host.peers.size(), 2u);
}

TEST_F(HostPoolTest, AConnectionThatTheHostClosedWhileIdleIsNotReused) {
    Server host(io, [](auto& peer) { peer.ok(""); });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    host.peers[0]->close();
    ASSERT_TRUE(run_until(io, [&] { return budget.in_use(SocketBudget::Side::host) == 0; }));
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[1].result.outcome, HostOutcome::success);
}

// A request that is written while the host closes the idle connection is lost.
TEST_F(HostPoolTest, ClosesIdleConnectionsBeforeTheHostDoes) {
    host_idle_timeout = 400ms;
    Server host(io, [](auto& peer) { peer.ok(""); });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    ASSERT_TRUE(run_until(io, [&] { return host.peers[0]->closed; }));
    EXPECT_EQ(budget.in_use(SocketBudget::Side::host), 0u);
}

// The response to the earlier attempt would be taken for the response to the next request.
TEST_F(HostPoolTest, AConnectionIsNotReusedAfterATimeoutOrACancellation) {
    Server host(io, [](auto& peer) {
        if (peer.request["X-Trace-Id"] == "t3") peer.ok("third");
    });
    update_host(host.endpoint());
    send(1, 30ms);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 2; }));
    pool().cancel({2, 0});
    ASSERT_EQ(results.size(), 2u);
    EXPECT_EQ(results[1].result.outcome, HostOutcome::cancelled);
    send(3);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 3; }));
    EXPECT_EQ(results[2].result.answer.body(), "third");
    EXPECT_EQ(host.peers.size(), 3u);
}

// A connect that is pending when the host starts to drain would send its request when it succeeds.
TEST_F(HostPoolTest, NoRequestIsSentToADrainingHost) {
    UnreachableServer slow(io);
    update_host(slow.endpoint());
    send(1);
    EXPECT_TRUE(results.empty());
    update_host(slow.endpoint(), EndpointState::draining);
    ASSERT_EQ(results.size(), 1u);
    EXPECT_EQ(results[0].result.outcome, HostOutcome::connect_failed);
    send(2);
    ASSERT_EQ(results.size(), 2u);
    EXPECT_EQ(results[1].result.outcome, HostOutcome::connect_failed);
}

TEST_F(HostPoolTest, ACompleteListRemovesTheHostsThatItDoesNotContain) {
    Server host(io, [](auto& peer) { peer.ok(""); });
    update_host(host.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    pool().update({2, true, {}});
    EXPECT_EQ(budget.in_use(SocketBudget::Side::host), 0u);
    send(2);
    ASSERT_EQ(results.size(), 2u);
    EXPECT_EQ(results[1].result.outcome, HostOutcome::connect_failed);
}

TEST_F(HostPoolTest, AHostWithAChangedAddressGetsRequestsAtTheNewAddress) {
    Server before(io, [](auto& peer) { peer.ok("before"); });
    Server after(io, [](auto& peer) { peer.ok("after"); });
    update_host(before.endpoint());
    send(1);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
    update_host(after.endpoint());
    send(2);
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[1].result.answer.body(), "after");
}

TEST_F(HostPoolTest, AnAttemptBeyondTheSocketBudgetIsNotStarted) {
    budget = SocketBudget(10);  // at most six for connections to hosts
    Server host(io, [](auto&) {});
    update_host(host.endpoint());
    for (std::uint64_t id = 1; id <= 7; ++id) send(id);
    ASSERT_EQ(results.size(), 1u);
    EXPECT_EQ(results[0].key.request, 7u);
    EXPECT_EQ(results[0].result.outcome, HostOutcome::not_started);
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 6; }));
    for (const auto& peer : host.peers) peer->ok("");
    ASSERT_TRUE(run_until(io, [&] { return results.size() == 7; }));
    for (std::size_t i = 1; i < 7; ++i) EXPECT_EQ(results[i].result.outcome, HostOutcome::success);
}

TEST_F(HostPoolTest, HealthChecksReturnTheLoadReport) {
    Server host(io, [](auto& peer) { peer.ok("TEXT inflight=7, queue=2, util=0.61"); });
    update_host(host.endpoint());
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return !health_checks.empty(); }));
    EXPECT_EQ(host.targets[0], "/_load");
    EXPECT_EQ(health_checks[0].result.outcome, HostOutcome::success);
    EXPECT_EQ(health_checks[0].result.answer.body(), "TEXT inflight=7, queue=2, util=0.61");
    Server silent(io, [](auto&) {});
    update_host(silent.endpoint());
    pool().check_health("h");
    ASSERT_TRUE(run_until(io, [&] { return health_checks.size() == 2; }));
    EXPECT_EQ(health_checks[1].result.outcome, HostOutcome::timeout);
}

}  // namespace
}  // namespace gateway::server::test

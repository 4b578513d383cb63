// Slow start of hosts after a start, a restart or an unban.
#include <deque>

#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

namespace {

// A gateway with the hosts a and b. `attempts_at_a` sends requests, 10 ms apart, and counts the attempts at
// host a.
struct TwoHostGateway {
    ClockedGateway gateway;
    RequestId id = 1;
    explicit TwoHostGateway(Settings settings)
        : gateway((settings.plans[0].rate = settings.plans[0].burst = 1e6, settings),
                  {host("a"), host("b")}) {
        gateway.now += 3h;
        gateway.handle(HostsChanged{true, {host("a"), host("b")}});
    }
    int attempts_at_a(int requests) {
        int attempts = 0;
        for (const RequestId last = id + static_cast<RequestId>(requests); id < last; ++id) {
            gateway.advance(10ms);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
                attempts += attempt.host == "a";
                gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
            }
        }
        return attempts;
    }
    void restart_a(Micros reported_start) {
        HostEntry restarted = host("a");
        restarted.started = reported_start;
        gateway.handle(HostsChanged{false, {restarted}});
    }
};

}  // namespace

// All gateways together must keep the load of a cold host below `overload_multiple` times its capacity. One
// of two gateways may use half of that at most.
TEST(SlowStart, AFreshHostGetsFewRequestsAtFirstAndMoreLater) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings, {host("a"), host("b"), host("c")});
    RequestId id = 1;
    std::deque<SendAttempt> in_flight;
    const auto run = [&](Micros span) {  // sends 20 requests a second, each answered after 200 ms
        std::map<std::string, int> attempts_by_host;
        for (Micros passed{0}; passed < span; passed += 50ms) {
            gateway.advance(50ms);
            if (in_flight.size() >= 4) {
                gateway.end_attempt(in_flight.front().id, in_flight.front().host, Outcome::success, 200ms);
                in_flight.pop_front();
            }
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id++))) {
                ++attempts_by_host[attempt.host];
                in_flight.push_back(attempt);
            }
        }
        return attempts_by_host;
    };
    run(10s);
    HostEntry cold = host("c");
    cold.started = gateway.now;
    gateway.handle(HostsChanged{false, {cold}});
    const auto early = run(2s), late = run(8s);
    EXPECT_LE(early.at("c"), 6);  // 2 s at a fifth to a third of 6.7 requests a second, and one or two extra
    EXPECT_GT(late.at("c"), 15);
}

// Under a token bucket, any number of tokens above 0 admitted a whole request, so that hundreds of gateways
// could each send one to a cold host at once.
TEST(SlowStart, HundredsOfGatewaysTogetherSendAColdHostNoMoreThanItsShare) {
    Settings settings = two_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    Fleet fleet(settings, 300, 3);
    fleet.response_time = 100'000us;
    RequestId id = 0;
    const auto run = [&](Micros span) {  // sends 100 requests a second to four hosts
        int attempts_at_d = 0;
        for (Micros passed{0}; passed < span; passed += 10ms) {
            fleet.advance(10ms);
            fleet.request(static_cast<int>(fleet.random() % 300), ++id, 1, 300);
            for (const auto& [rank, attempt] : std::exchange(fleet.sent, {}))
                attempts_at_d += attempt.host == "d";
        }
        return attempts_at_d;
    };
    run(15s);
    HostEntry cold = host("d");
    cold.started = fleet.now;
    for (ClockedGateway& gateway : fleet.gateways) gateway.handle(HostsChanged{false, {cold}});
    EXPECT_LE(run(2s), 25);  // its even share is 25 a second; it starts with a fifth of that
    EXPECT_GT(run(8s), 20);  // the host gets enough requests later
}

// A step of the wall clock can make a reported start wrong. A host whose reported start changes has restarted
// and is cold from then on, even if the reported time is long ago.
TEST(SlowStart, ARestartWithAReportedStartLongAgoCausesASlowStart) {
    TwoHostGateway fixture(single_gateway_settings());
    const int warm = fixture.attempts_at_a(400);
    fixture.restart_a(fixture.gateway.now - 1h);
    const int cold = fixture.attempts_at_a(400);
    EXPECT_GT(cold, 0);
    EXPECT_LT(cold, warm * 3 / 4);
    fixture.gateway.advance(11s);
    EXPECT_GT(fixture.attempts_at_a(400), warm * 3 / 4);
}

// The first endpoint list is the one that was cached when the process started, and may be of any age. A
// restart between it and the next list may therefore be long ago, and the reported start is plausible.
TEST(SlowStart, ALongPastRestartSinceTheCachedListCausesNoSlowStart) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 1e6;
    ClockedGateway gateway(settings, {});
    gateway.now += 3h;
    Gateway fresh(settings, 1, gateway.now);
    gateway.decision = std::move(fresh);
    gateway.handle(HostsChanged{true, {host("a"), host("b")}});
    HostEntry restarted = host("a");
    restarted.started = gateway.now - 1h;
    gateway.advance(100ms);
    gateway.handle(HostsChanged{true, {restarted, host("b")}});
    int attempts_at_a = 0;
    for (RequestId id = 1; id <= 400; ++id) {
        gateway.advance(10ms);
        for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
            attempts_at_a += attempt.host == "a";
            gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
        }
    }
    EXPECT_GT(attempts_at_a, 150);
}

TEST(SlowStart, AReportedStartInTheFutureDoesNotExtendTheSlowStart) {
    TwoHostGateway fixture(single_gateway_settings());
    const int warm = fixture.attempts_at_a(400);
    fixture.restart_a(fixture.gateway.now + 1h);
    EXPECT_LT(fixture.attempts_at_a(400), warm * 3 / 4);
    fixture.restart_a(fixture.gateway.now + 1h - 4s);  // the same reported start again
    fixture.gateway.advance(11s);
    EXPECT_GT(fixture.attempts_at_a(400), warm * 3 / 4);
}

TEST(Ban, ABanOutlastsEndpointListsAndTheHostIsColdAfterTheUnban) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 1e6;
    ClockedGateway gateway(settings, {host("a"), host("b")});
    RequestId id = 1;
    const auto sent_to_a = [&](int requests) {
        int sent = 0;
        for (const RequestId last = id + requests; id < last; ++id) {
            gateway.advance(10ms);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
                sent += attempt.host == "a";
                gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
            }
        }
        return sent;
    };
    const int warm = sent_to_a(400);
    EXPECT_GT(warm, 100);
    gateway.handle(HostBanned{"a", true});
    gateway.handle(HostBanned{"a", true});
    EXPECT_EQ(sent_to_a(200), 0);
    HostEntry restarted = host("a");
    restarted.started = gateway.now;
    gateway.handle(HostsChanged{true, {restarted, host("b")}});
    EXPECT_EQ(sent_to_a(200), 0);
    gateway.handle(HostBanned{"a", false});
    // One unban lifts any number of bans. The host then counts as cold, and gets requests.
    const int cold = sent_to_a(400);
    EXPECT_GT(cold, 0);
    EXPECT_LT(cold, warm * 3 / 4);
    gateway.handle(HostsChanged{true, {restarted, host("b")}});
    gateway.advance(11s);
    EXPECT_GT(sent_to_a(400), 100);
}

// With 3 warm hosts of 8, the 5 cold hosts were almost idle for 10 s.
TEST(SlowStart, FewWarmHostsDoNotKeepManyColdOnesIdle) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 1e6;
    settings.overload_multiple = 2.5;
    std::vector<HostEntry> hosts;
    for (int i = 0; i < 8; ++i) hosts.push_back(host(std::string("h").append(std::to_string(i))));
    ClockedGateway gateway(settings, hosts);
    std::map<std::string, int> sent;
    RequestId id = 1;
    const auto run = [&](int requests) {
        sent.clear();
        for (const RequestId last = id + requests; id < last; ++id) {
            gateway.advance(10ms);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
                ++sent[attempt.host];
                gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
            }
        }
    };
    run(1000);
    for (int i = 0; i < 5; ++i) hosts[i].started = gateway.now;
    gateway.handle(HostsChanged{true, hosts});
    run(500);
    int cold = 0, warm = 0;
    for (const auto& [name, attempts] : sent) (name < "h5" ? cold : warm) += attempts;
    // At 0.2 to 0.6 of its capacity, a cold host gets two fifths of what a warm host gets.
    EXPECT_GT(cold / 5.0, 0.15 * warm / 3.0);
    EXPECT_LT(cold / 5.0, 0.6 * warm / 3.0);
}

}  // namespace gateway::decision::test

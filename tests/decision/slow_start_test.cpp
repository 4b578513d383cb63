// Hosts that are warming up after a start, a restart or a ban.
#include <deque>

#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

namespace {

// Sends requests, 10 ms apart, and counts those that go to host a.
struct TwoHosts {
    ClockedGateway gateway;
    RequestId id = 1;
    explicit TwoHosts(Settings settings)
        : gateway((settings.plans[0].rate = settings.plans[0].burst = 1e6, settings),
                  {host("a"), host("b")}) {
        gateway.now += 3h;
        gateway.handle(HostsChanged{true, {host("a"), host("b")}});
    }
    int sent(int requests) {
        int to_a = 0;
        for (const RequestId last = id + static_cast<RequestId>(requests); id < last; ++id) {
            gateway.advance(10ms);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
                to_a += attempt.host == "a";
                gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
            }
        }
        return to_a;
    }
    void restart_a(Micros told_start) {
        HostEntry restarted = host("a");
        restarted.started = told_start;
        gateway.handle(HostsChanged{false, {restarted}});
    }
};

}  // namespace

// All instances together must stay under the multiple of the cold host's capacity; one of two takes half at
// most.
TEST(SlowStart, AFreshHostGetsASmallBudgetThatGrows) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings, {host("a"), host("b"), host("c")});
    RequestId id = 1;
    std::deque<SendAttempt> out;
    const auto run = [&](Micros span) {  // 20 requests a second, each answered after 200 ms
        std::map<std::string, int> count;
        for (Micros passed{0}; passed < span; passed += 50ms) {
            gateway.advance(50ms);
            if (out.size() >= 4) {
                gateway.end_attempt(out.front().id, out.front().host, Outcome::success, 200ms);
                out.pop_front();
            }
            for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id++))) {
                ++count[attempt.host];
                out.push_back(attempt);
            }
        }
        return count;
    };
    run(10s);
    HostEntry cold = host("c");
    cold.started = gateway.now;
    gateway.handle(HostsChanged{false, {cold}});
    const auto early = run(2s), late = run(8s);
    EXPECT_LE(early.at("c"), 6);  // 2 s at a fifth to a third of 6.7 a second, and one or two at once
    EXPECT_GT(late.at("c"), 15);
}

// Found in the code: any token above nothing sent a whole request, so hundreds could each send one at once.
TEST(SlowStart, HundredsOfGatewaysTogetherKeepToTheSharesSum) {
    Settings settings = settings_of_one_of_two();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    Fleet fleet(settings, 300, 3);
    fleet.answer_after = 100'000us;
    RequestId id = 0;
    const auto run = [&](Micros span) {  // 100 requests a second on four hosts
        int cold = 0;
        for (Micros passed{0}; passed < span; passed += 10ms) {
            fleet.advance(10ms);
            fleet.request(static_cast<int>(fleet.random() % 300), ++id, 1, 300);
            for (const auto& [rank, attempt] : std::exchange(fleet.sent, {})) cold += attempt.host == "d";
        }
        return cold;
    };
    run(15s);
    HostEntry cold = host("d");
    cold.started = fleet.now;
    for (ClockedGateway& gateway : fleet.gateways) gateway.handle(HostsChanged{false, {cold}});
    EXPECT_LE(run(2s), 25);  // 25 a second are its even share; a fifth of that to start with
    EXPECT_GT(run(8s), 20);  // and it is not starved
}

// The wall clock may be stepped: a host that was seen to restart is cold from then on, whatever its stamp
// says.
TEST(SlowStart, ARestartStampedLongAgoWarmsUpAllTheSame) {
    TwoHosts shared(single_gateway_settings());
    const int warm = shared.sent(400);
    shared.restart_a(shared.gateway.now - 1h);
    const int cold = shared.sent(400);
    EXPECT_GT(cold, 0);
    EXPECT_LT(cold, warm * 3 / 4);
    shared.gateway.advance(11s);
    EXPECT_GT(shared.sent(400), warm * 3 / 4);
}

// The first list is the one known at the start, of any age: what the next one tells of starts in between is
// no surprise.
TEST(SlowStart, ARestartSinceTheKnownListIsBelieved) {
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
    int to_a = 0;
    for (RequestId id = 1; id <= 400; ++id) {
        gateway.advance(10ms);
        for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
            to_a += attempt.host == "a";
            gateway.end_attempt(id, attempt.host, Outcome::success, 5ms);
        }
    }
    EXPECT_GT(to_a, 150);
}

TEST(SlowStart, ARestartStampedInTheFutureWarmsUpNoLonger) {
    TwoHosts shared(single_gateway_settings());
    const int warm = shared.sent(400);
    shared.restart_a(shared.gateway.now + 1h);
    EXPECT_LT(shared.sent(400), warm * 3 / 4);
    shared.restart_a(shared.gateway.now + 1h - 4s);  // the same stamp, told again
    shared.gateway.advance(11s);
    EXPECT_GT(shared.sent(400), warm * 3 / 4);
}

TEST(Ban, HoldsWhateverTheListSaysAndTheHostComesBackCold) {
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
    // One word back answers any number of bans; the host counts as cold from now on, and is used.
    const int cold = sent_to_a(400);
    EXPECT_GT(cold, 0);
    EXPECT_LT(cold, warm * 3 / 4);
    gateway.handle(HostsChanged{true, {restarted, host("b")}});
    gateway.advance(11s);
    EXPECT_GT(sent_to_a(400), 100);
}

// Found on day 3 of the full score: with 3 warm hosts of 8 the 5 cold ones stood almost idle for 10 s.
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
    for (const auto& [name, n] : sent) (name < "h5" ? cold : warm) += n;
    // At 0.2 to 0.6 of their capacity they get two fifths of what a warm host gets, one for one.
    EXPECT_GT(cold / 5.0, 0.15 * warm / 3.0);
    EXPECT_LT(cold / 5.0, 0.6 * warm / 3.0);
}

}  // namespace gateway::decision::test

// Choice of a host, its health, and requests that wait for one.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// Found in i8ecd6f: a queue served in order let every request leave at its last moment.
TEST(WaitingRequests, TheNewestIsSentFirst) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(
        settings, {host("a"), host("b"), host("c", HostState::draining), host("d", HostState::draining)});
    RequestId id = 1;
    while (!actions_of<SendAttempt>(gateway.request(id)).empty())
        ++id;  // fills the hosts; `id` waits, two more may
    const RequestId newest = ++id;
    gateway.request(newest);
    const auto sent = actions_of<SendAttempt>(gateway.end_attempt(1, "a", Outcome::success, 20ms));
    ASSERT_GE(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, newest);
}

// Found on the overload days: a long line only aged, each rejected at its last moment.
TEST(WaitingRequests, TheOldestOfALongLineIsAnsweredAtOnce) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings, {host("a")});
    RequestId id = 1;
    while (!actions_of<SendAttempt>(gateway.request(id)).empty()) ++id;  // `id` waits
    const auto out = gateway.request(id + 1);
    ASSERT_EQ(actions_of<RejectRequest>(out).size(), 1u);
    EXPECT_EQ(actions_of<RejectRequest>(out)[0].id, id);
}

// Found on throttle days: a host that turned one plan away as full was left alone for all, and the plan came
// back to it.
TEST(Health, AHostThatRejectsOnePlanLosesOnlyThatPlan) {
    Settings settings = single_gateway_settings();
    settings.plans = {{"p", 0, 0, 0, 1, 0, 1, 0, 0}, {"q", 0, 0, 0, 1, 0, 1, 0, 0}};
    ClockedGateway gateway(settings, {host("a"), host("b"), host("c")});
    RequestId id = 0;
    std::map<std::string, int> of_p, of_q;
    for (int i = 0; i < 300; ++i) {
        gateway.advance(20ms);
        const int plan = i % 2;
        auto sent = actions_of<SendAttempt>(gateway.request(++id, 1, 2s, plan));
        for (int tries = 0; !sent.empty() && tries < 3; ++tries) {
            const SendAttempt attempt = sent[0];
            ++(plan == 0 ? of_p : of_q)[attempt.host];
            const bool full = plan == 0 && attempt.host == "a";
            sent = actions_of<SendAttempt>(gateway.end_attempt(
                id, attempt.host, full ? Outcome::rejected : Outcome::success, 30ms, tries));
        }
    }
    EXPECT_LE(of_p["a"], 5);
    EXPECT_GT(of_q["a"], 30);
    EXPECT_TRUE(actions_of<RejectRequest>(gateway.actions).empty());
}

// Found in i77ecda: each of hundreds of gateways held connections to every host.
// Kept connections end under requests now and then; only what goes on without an answer in between tells of a
// host that is down.
TEST(Health, OneResetDoesNotEjectAHost) {
    for (const int resets : {1, 3}) {
        ClockedGateway gateway(single_gateway_settings(), {host("a")});
        for (int i = 0; i < resets; ++i) {
            const auto sent = actions_of<SendAttempt>(gateway.request(static_cast<RequestId>(i + 1), 0.1));
            ASSERT_EQ(sent.size(), 1u);
            gateway.end_attempt(sent[0].id, "a", Outcome::reset, 1ms, 0, true);
        }
        EXPECT_EQ(actions_of<SendAttempt>(gateway.request(100, 0.1)).size(), resets == 1 ? 1u : 0u);
    }
}

// A garbled report says nothing; taken for idleness it would draw requests to a host that may be full.
TEST(Health, AHealthCheckWithoutAReadableReportDoesNotCountAsIdle) {
    Settings settings = single_gateway_settings();
    settings.may_check_health = true;
    settings.reports = LoadReports::on_probe;
    for (const bool readable : {false, true}) {
        ClockedGateway gateway(settings);
        const auto probes = actions_of<CheckHealth>(gateway.request(1));
        ASSERT_EQ(probes.size(), 2u);
        HealthCheckEnded ended;
        ended.host = probes[0].host;
        if (readable) ended.report.queued = 0;
        EXPECT_EQ(actions_of<SendAttempt>(gateway.handle(ended)).size(), readable ? 1u : 0u);
    }
}

TEST(Hosts, AGatewayKeepsToAStableFew) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    std::vector<HostEntry> all;
    for (int i = 0; i < 100; ++i) all.push_back(host(std::string("h").append(std::to_string(i))));
    ClockedGateway gateway(settings, all);
    std::map<std::string, int> used;
    for (RequestId id = 1; id <= 500; ++id) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
            ++used[attempt.host];
            gateway.end_attempt(id, attempt.host, Outcome::success, 20ms);
        }
        gateway.advance(10ms);
    }
    EXPECT_LE(used.size(), 40u);
    EXPECT_GE(used.size(), 20u);
}

}  // namespace gateway::decision::test

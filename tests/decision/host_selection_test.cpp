// Selection of hosts, their health, and requests that wait for a host.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// When the queue was served in order of arrival, every request left it at the last possible moment (i8ecd6f).
TEST(WaitingRequests, TheNewestRequestIsSentFirst) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(
        settings, {host("a"), host("b"), host("c", HostState::draining), host("d", HostState::draining)});
    RequestId id = 1;
    while (!actions_of<SendAttempt>(gateway.request(id)).empty())
        ++id;  // fills the hosts; request `id` waits, and two more may wait
    const RequestId newest = ++id;
    gateway.request(newest);
    const auto sent = actions_of<SendAttempt>(gateway.end_attempt(1, "a", Outcome::success, 20ms));
    ASSERT_GE(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, newest);
}

// Under overload, requests in a long queue waited in vain, and each was rejected only at the last possible
// moment.
TEST(WaitingRequests, TheOldestRequestOfAFullQueueIsRejectedAtOnce) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings, {host("a")});
    RequestId id = 1;
    while (!actions_of<SendAttempt>(gateway.request(id)).empty()) ++id;  // request `id` waits
    const auto actions = gateway.request(id + 1);
    ASSERT_EQ(actions_of<RejectRequest>(actions).size(), 1u);
    EXPECT_EQ(actions_of<RejectRequest>(actions)[0].id, id);
}

// A host that rejected the requests of one plan as overloaded got no requests of any plan, and later requests
// of the rejected plan were sent to it again.
TEST(Health, AHostThatRejectsOnePlanGetsOnlyRequestsOfOtherPlans) {
    Settings settings = single_gateway_settings();
    settings.plans = {{"p", 0, 0, 0, 1, 0, 1, 0, 0}, {"q", 0, 0, 0, 1, 0, 1, 0, 0}};
    ClockedGateway gateway(settings, {host("a"), host("b"), host("c")});
    RequestId id = 0;
    std::map<std::string, int> attempts_of_p, attempts_of_q;
    for (int i = 0; i < 300; ++i) {
        gateway.advance(20ms);
        const int plan = i % 2;
        auto sent = actions_of<SendAttempt>(gateway.request(++id, 1, 2s, plan));
        for (int attempts_made = 0; !sent.empty() && attempts_made < 3; ++attempts_made) {
            const SendAttempt attempt = sent[0];
            ++(plan == 0 ? attempts_of_p : attempts_of_q)[attempt.host];
            const bool rejects = plan == 0 && attempt.host == "a";
            sent = actions_of<SendAttempt>(gateway.end_attempt(
                id, attempt.host, rejects ? Outcome::rejected : Outcome::success, 30ms, attempts_made));
        }
    }
    EXPECT_LE(attempts_of_p["a"], 5);
    EXPECT_GT(attempts_of_q["a"], 30);
    EXPECT_TRUE(actions_of<RejectRequest>(gateway.actions).empty());
}

// A kept connection may end while a request is in flight. Only consecutive resets without a response in
// between show that a host is down.
TEST(Health, ThreeConsecutiveResetsEjectAHostButOneDoesNot) {
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

// An unreadable load report says nothing about the load. If it counted as idle, requests would be sent to a
// host that may be full.
TEST(Health, AHostWithAnUnreadableLoadReportIsNotIdle) {
    Settings settings = single_gateway_settings();
    settings.may_check_health = true;
    settings.reports = LoadReports::on_probe;
    for (const bool readable : {false, true}) {
        ClockedGateway gateway(settings);
        const auto health_checks = actions_of<CheckHealth>(gateway.request(1));
        ASSERT_EQ(health_checks.size(), 2u);
        HealthCheckEnded ended;
        ended.host = health_checks[0].host;
        if (readable) ended.report.queued = 0;
        EXPECT_EQ(actions_of<SendAttempt>(gateway.handle(ended)).size(), readable ? 1u : 0u);
    }
}

// Without a stable subset, each of hundreds of gateways held connections to every host (i77ecda).
TEST(Hosts, AGatewayUsesAStableSubsetOfItsHosts) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    std::vector<HostEntry> hosts;
    for (int i = 0; i < 100; ++i) hosts.push_back(host(std::string("h").append(std::to_string(i))));
    ClockedGateway gateway(settings, hosts);
    std::map<std::string, int> attempts_by_host;
    for (RequestId id = 1; id <= 500; ++id) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id))) {
            ++attempts_by_host[attempt.host];
            gateway.end_attempt(id, attempt.host, Outcome::success, 20ms);
        }
        gateway.advance(10ms);
    }
    EXPECT_LE(attempts_by_host.size(), 40u);
    EXPECT_GE(attempts_by_host.size(), 20u);
}

}  // namespace gateway::decision::test

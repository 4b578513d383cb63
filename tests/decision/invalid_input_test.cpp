// Tests of invalid settings and events.
#include "gateway_fixture.h"

namespace gateway::decision::test {

TEST(Settings, InvalidSettingsAreRejected) {
    Settings settings = single_gateway_settings();
    settings.rank = 3;
    EXPECT_THROW(Gateway(settings, 1, 0us), std::invalid_argument);
    settings = single_gateway_settings();
    settings.plans[0].rate = -1;
    EXPECT_THROW(Gateway(settings, 1, 0us), std::invalid_argument);
}

TEST(Events, EventsForUnknownObjectsAreIgnored) {
    ClockedGateway gateway(single_gateway_settings());
    EXPECT_TRUE(gateway.handle(ClientDisconnected{99}).empty());
    EXPECT_TRUE(gateway.end_attempt(99, "nowhere", Outcome::timeout, 1s).empty());
    EXPECT_TRUE(gateway.handle(MessageArrived{0, "junk"}).empty());
    EXPECT_TRUE(gateway.handle(MessageArrived{77, "junk"}).empty());
    EXPECT_TRUE(gateway.handle(TimerFired{~0ull}).empty());
    EXPECT_TRUE(gateway.handle(HealthCheckEnded{}).empty());
}

TEST(Events, LateAndRepeatedEventsAreIgnored) {
    ClockedGateway gateway(single_gateway_settings());
    const auto sent = actions_of<SendAttempt>(gateway.request(1));
    ASSERT_EQ(sent.size(), 1u);
    const auto timers = gateway.timers;
    gateway.end_attempt(1, sent[0].host, Outcome::success, 20ms);
    EXPECT_TRUE(gateway.end_attempt(1, sent[0].host, Outcome::timeout, 2s).empty());
    for (const auto& [at, token] : timers) {
        for (const Action& action : gateway.handle(TimerFired{token}))
            EXPECT_TRUE(std::holds_alternative<SetTimer>(action));
    }
    // A request without time left is rejected immediately.
    EXPECT_TRUE(gateway.request(2, 1, 0us).size() == 1 &&
                actions_of<RejectRequest>(gateway.actions).size() == 1);
}

TEST(Events, InvalidMessagesAndHealthChecksAreIgnored) {
    Settings settings = two_gateway_settings();
    ClockedGateway gateway(settings);
    // An unknown plan, an empty set, and a set larger than the fleet.
    for (const LeaseRequest& request :
         {LeaseRequest{1, 2, 9, 2, 0, 1, 0, 0}, LeaseRequest{1, 2, 0, 0, 0, 1, 0, 0},
          LeaseRequest{1, 2, 0, 3, 0, 1, 0, 0}})
        EXPECT_TRUE(gateway.handle(MessageArrived{1, encode({request})}).empty());
    EXPECT_TRUE(gateway.handle(MessageArrived{2, encode({LeaseRequest{}})}).empty());  // unknown rank
    // A grant that does not answer any lease request.
    EXPECT_TRUE(gateway.handle(MessageArrived{1, encode({LeaseGrant{77, 50, 50, 0, 1}})}).empty());
    for (const PermitRequest& request :
         {PermitRequest{1, 2, 9, 2, 0, 1}, PermitRequest{1, 2, 0, 0, 0, 1}, PermitRequest{1, 2, 0, 3, 0, 1}})
        EXPECT_TRUE(gateway.handle(MessageArrived{1, encode({request})}).empty());
    EXPECT_TRUE(gateway.handle(MessageArrived{1, encode({PermitGrant{77, 2, 5, 0}})}).empty());
    EXPECT_TRUE(gateway.handle(HealthCheckEnded{"gone", Outcome::success, 1ms, {}}).empty());
    EXPECT_TRUE(gateway.handle(HealthCheckEnded{"a", Outcome::timeout, 250ms, {}}).empty());
}

TEST(Settings, ZeroRatesBurstsAndWeightsAreValid) {
    Settings settings;
    settings.classes = {{"read", Idempotency::idempotent, DeduplicationScope::all, 800ms, 2s, 0us, 0, 0}};
    settings.plans = {{"none", 0, 0, 0, 0, 0, 0, 0, 0}, {"no burst", 1, 0, 0, 1, 0, 1, 0, 0}};
    ClockedGateway gateway(settings);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1, 1, 2s, 0, 0, "x")).size(), 1u);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(2, 0, 2s, 1, 0, "y")).size(), 1u);
    gateway.request(3, 5, 2s, 1, 0, "y");
    gateway.request(4, 1, 2s, 0, 0, "x", 0);
    gateway.advance(3s);
    EXPECT_EQ(
        actions_of<RejectRequest>(gateway.actions).size() + actions_of<FailRequest>(gateway.actions).size(),
        4u);
}

}  // namespace gateway::decision::test

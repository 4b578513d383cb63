// When an answer is streamed whose end has not arrived.
#include "gateway_fixture.h"

namespace gateway::decision::test {
namespace {

Settings settings_without_hedging() {
    Settings settings = single_gateway_settings();
    settings.may_hedge = false;
    return settings;
}

bool is_given_up(const std::vector<Action>& actions) {
    return !actions_of<RejectRequest>(actions).empty() || !actions_of<FailRequest>(actions).empty();
}

}  // namespace

TEST(ResponseStreaming, AnArrivingResponseIsStreamedAtTheDeadlineInsteadOfAFailure) {
    ClockedGateway gateway(settings_without_hedging(), {host("a")});
    gateway.request(1, 1, 300ms);
    gateway.now += 10ms;
    gateway.handle(ResponseArriving{1, 0});
    const auto actions = gateway.advance(290ms);
    const auto streamed = actions_of<StreamResponse>(actions);
    ASSERT_EQ(streamed.size(), 1u);
    EXPECT_EQ(streamed[0].id, 1u);
    EXPECT_EQ(streamed[0].attempt, 0);
    EXPECT_FALSE(is_given_up(actions));
}

TEST(ResponseStreaming, AnArrivingResponseIsStreamedBeforeItsStartLosesWeight) {
    ClockedGateway gateway(settings_without_hedging(), {host("a")});
    gateway.request(1, 1, 2s);
    gateway.now += 10ms;
    gateway.handle(ResponseArriving{1, 0});
    EXPECT_TRUE(actions_of<StreamResponse>(gateway.advance(780ms)).empty());
    EXPECT_EQ(actions_of<StreamResponse>(gateway.advance(10ms)).size(), 1u);
}

TEST(ResponseStreaming, AResponseThatArrivesAfterTheObjectiveIsHeldBackForASecondAtMost) {
    Settings settings = settings_without_hedging();
    settings.classes[0].latency_objective = 50ms;
    settings.classes[0].deadline = 3s;
    ClockedGateway gateway(settings, {host("a")});
    gateway.request(1, 1, 3s);
    gateway.now += 100ms;
    gateway.handle(ResponseArriving{1, 0});
    EXPECT_TRUE(actions_of<StreamResponse>(gateway.advance(990ms)).empty());
    EXPECT_EQ(actions_of<StreamResponse>(gateway.advance(10ms)).size(), 1u);
}

TEST(ResponseStreaming, AnAttemptWhoseResponseIsArrivingIsNotCancelledAsSilent) {
    for (const bool arriving : {false, true}) {
        ClockedGateway gateway(settings_without_hedging());
        gateway.request(1, 1, 2s);
        gateway.now += 10ms;
        if (arriving) gateway.handle(ResponseArriving{1, 0});
        EXPECT_EQ(actions_of<CancelAttempt>(gateway.advance(1s)).empty(), arriving);
    }
}

TEST(ResponseStreaming, AnArrivingResponseIsHeldBackWhileAHedgeIsInFlight) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.request(1, 1, 2s);
    gateway.now += 10ms;
    gateway.handle(ResponseArriving{1, 0});
    const auto actions = gateway.advance(900ms);
    EXPECT_EQ(actions_of<SendAttempt>(actions).size(), 1u);
    EXPECT_TRUE(actions_of<StreamResponse>(actions).empty());
    const auto streamed = actions_of<StreamResponse>(gateway.advance(200ms));
    ASSERT_FALSE(streamed.empty());
    EXPECT_EQ(streamed[0].attempt, 0);
}

TEST(ResponseStreaming, AResponseThatBrokeOffIsNotStreamedAtTheDeadline) {
    ClockedGateway gateway(settings_without_hedging(), {host("a")});
    gateway.request(1, 1, 300ms);
    gateway.now += 10ms;
    gateway.handle(ResponseArriving{1, 0});
    gateway.end_attempt(1, "a", Outcome::reset, 10ms);
    gateway.advance(300ms);
    EXPECT_TRUE(actions_of<StreamResponse>(gateway.actions).empty());
    EXPECT_TRUE(is_given_up(gateway.actions));
}

}  // namespace gateway::decision::test

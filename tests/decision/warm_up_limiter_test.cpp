// The warm-up limiter, which delays requests while hosts are overloaded.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// One gateway, rate 2, burst 4: the stable interval is 0.5 s, the warm-up time 2 s, the threshold 2 permits,
// the maximum 4 permits, and the slope 0.5 s a permit. With all permits stored, the first one costs (1.5
// + 1.0) / 2 = 1.25 s.
TEST(WarmUp, ARequestDelaysTheNextOneWhichIsRejectedIfItWouldWaitTooLong) {
    ClockedGateway gateway(single_gateway_settings());
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1)).size(), 1u);  // sent at once
    const auto rejected = actions_of<RejectRequest>(gateway.request(2));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 1'250'000, 2);
    // The rejected request took no permits.
    const auto repeated = actions_of<RejectRequest>(gateway.request(3));
    ASSERT_EQ(repeated.size(), 1u);
    EXPECT_NEAR(repeated[0].retry_after.count(), 1'250'000, 2);
}

// Two of the 3 units lie on the slope and cost 2 x 1.5 - 0.5 x 2 x 2 / 2 = 2 s. The third lies below the
// threshold and costs 0.5 s.
TEST(WarmUp, UnitsAboveAndBelowTheThresholdAddUpToTheDelay) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.advance(2s);
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1, 3)).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(gateway.request(2));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 2'500'000, 2);
}

TEST(WarmUp, ADelayedRequestIsReleasedByATimer) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = 20;
    // The stable interval is 50 ms. With all permits stored, the first one costs 150 ms or less.
    settings.plans[0].burst = 40;
    ClockedGateway gateway(settings);
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1)).size(), 1u);
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.request(2)).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.advance(100ms)).empty());
    EXPECT_EQ(actions_of<SendAttempt>(gateway.advance(60ms)).size(), 1u);
}

}  // namespace gateway::decision::test

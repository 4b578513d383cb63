// The warm-up limiter, which holds requests back while hosts are overloaded.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// rate 2, burst 4, one gateway: stable interval 0.5 s, warm-up 2 s, threshold 2, most 4 permits, slope 0.5 s
// a permit. From full: the first permit costs (1.5 + 1.0) / 2 = 1.25 s.
TEST(WarmUp, NextCallerPaysAndOverrunIsRejectedEarly) {
    ClockedGateway gateway(single_gateway_settings());
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1)).size(), 1u);  // leaves at once
    const auto rejected = actions_of<RejectRequest>(gateway.request(2));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 1'250'000, 2);
    const auto again = actions_of<RejectRequest>(gateway.request(3));  // and charged nothing
    ASSERT_EQ(again.size(), 1u);
    EXPECT_NEAR(again[0].retry_after.count(), 1'250'000, 2);
}

// Two units across the first part of the slope: 2 x 1.5 - 0.5 x 2 x 2 / 2 = 2 s; a third below the threshold
// 0.5 s.
TEST(WarmUp, SeveralUnitsAcrossTheThreshold) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.advance(2s);
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1, 3)).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(gateway.request(2));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 2'500'000, 2);
}

TEST(WarmUp, HoldsAndReleasesByTimer) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = 20;
    settings.plans[0].burst = 40;  // stable 50 ms: the first permit of a full store costs 150 ms or less
    ClockedGateway gateway(settings);
    overload_hosts(gateway);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(1)).size(), 1u);
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.request(2)).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.advance(100ms)).empty());
    EXPECT_EQ(actions_of<SendAttempt>(gateway.advance(60ms)).size(), 1u);
}

}  // namespace gateway::decision::test

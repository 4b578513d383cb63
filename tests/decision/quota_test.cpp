// Tests of rate quotas and ceilings.
#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

TEST(Quota, AdmitsTheBurstAndRejectsFurtherRequestsWithRetryAfter) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.advance(2s);  // a new ledger starts with half of the burst
    for (RequestId id = 1; id <= 4; ++id) EXPECT_EQ(actions_of<SendAttempt>(gateway.request(id)).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(gateway.request(5));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 500'000, 1000);  // one unit at 2 units per second
    for (RequestId id = 1; id <= 4; ++id) gateway.end_attempt(id, "a", Outcome::success, 100ms);
    gateway.advance(501ms);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(6)).size(), 1u);  // the rejected request used no tokens
}

TEST(Quota, PlanWithoutARateIsNotLimited) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings);
    for (RequestId id = 1; id <= 10; ++id) {
        const auto sent = actions_of<SendAttempt>(gateway.request(id));
        ASSERT_EQ(sent.size(), 1u);
        gateway.end_attempt(id, sent[0].host, Outcome::success, 50ms);
    }
}

TEST(Ceiling, NewProcessStartsWithoutTokensThatItsPredecessorMayHaveSpent) {
    Settings settings = single_gateway_settings();
    settings.plans[0].ceiling_rate = 4;
    settings.plans[0].ceiling_burst = 8;
    ClockedGateway gateway(settings);
    EXPECT_EQ(actions_of<RejectRequest>(gateway.request(1)).size(), 1u);
    gateway.advance(251ms);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(2)).size(), 1u);
}

// Compares the units forwarded by all gateways with a reference token bucket of the ceiling, while peer
// messages are lost, duplicated, reordered and delayed and gateways restart at random times.
TEST(Ceiling, GatewaysDoNotExceedTheCeilingInTotal) {
    for (const int count : {2, 12, 300}) {
        for (std::uint64_t seed = 1; seed <= (count > 100 ? 2 : 12); ++seed) {
            Settings settings = two_gateway_settings();
            settings.plans[0].rate = 50;
            settings.plans[0].burst = 60;  // high enough that only the ceiling limits requests
            const int set_size = std::min(count, 8);
            const double burst = 6.0 * set_size, rate = 3.0 * set_size;
            settings.plans[0].ceiling_rate = rate;
            settings.plans[0].ceiling_burst = burst;
            Fleet fleet(settings, count, seed);
            std::map<RequestId, double> units;
            double tokens = burst, min_tokens = burst;
            Micros refilled_at = fleet.now;
            for (int step = 0; step < 1500; ++step) {
                fleet.advance(Micros(4000 * (1 + fleet.random() % 8)));
                for (const auto& [rank, attempt] : fleet.sent) {
                    tokens = std::min(
                        burst,
                        tokens + rate * std::chrono::duration<double>(fleet.now - refilled_at).count());
                    refilled_at = fleet.now;
                    tokens -= units[attempt.id];
                    units[attempt.id] = 0;
                    min_tokens = std::min(min_tokens, tokens);
                }
                fleet.sent.clear();
                const int rank = static_cast<int>(fleet.random() % static_cast<std::uint64_t>(set_size));
                if (fleet.random() % 200 == 0) fleet.restart(rank);
                if (step % 300 < 100) continue;  // idle periods let the shares of the ceiling refill
                for (int i = 0; i < 3; ++i) {
                    const auto id = static_cast<RequestId>(10 * step + i + 1);
                    units[id] = static_cast<double>(1 + fleet.random() % 3);
                    fleet.request(step % 7 < 4 ? 0 : rank, id, units[id], set_size);
                }
            }
            EXPECT_GE(min_tokens, -std::max(3.0, burst / 10)) << count << " gateways, seed " << seed;
            EXPECT_LT(min_tokens, burst / 2)
                << "load too low to test the ceiling: gateways " << count << ", seed " << seed;
        }
    }
}

}  // namespace gateway::decision::test

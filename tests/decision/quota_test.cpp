// Rate quotas and ceilings.
#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

TEST(Quota, LetsTheBurstInAndRejectsBeyondWithTheWait) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.advance(2s);  // a fresh home starts from half of the burst
    for (RequestId id = 1; id <= 4; ++id) EXPECT_EQ(actions_of<SendAttempt>(gateway.request(id)).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(gateway.request(5));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 500'000, 1000);  // one unit at 2 units a second
    for (RequestId id = 1; id <= 4; ++id) gateway.end_attempt(id, "a", Outcome::success, 100ms);
    gateway.advance(501ms);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(6)).size(), 1u);  // the rejection charged nothing
}

TEST(Quota, RatelessPlansGoUnpaced) {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 0;
    ClockedGateway gateway(settings);
    for (RequestId id = 1; id <= 10; ++id) {
        const auto sent = actions_of<SendAttempt>(gateway.request(id));
        ASSERT_EQ(sent.size(), 1u);
        gateway.end_attempt(id, sent[0].host, Outcome::success, 50ms);
    }
}

TEST(Ceiling, AFreshInstanceHasNothingOfABurstItMayHaveSpentBefore) {
    Settings settings = single_gateway_settings();
    settings.plans[0].ceiling_rate = 4;
    settings.plans[0].ceiling_burst = 8;
    ClockedGateway gateway(settings);
    EXPECT_EQ(actions_of<RejectRequest>(gateway.request(1)).size(), 1u);
    gateway.advance(251ms);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(2)).size(), 1u);
}

// The sum over gateways against the ceiling's reference store: messages lost, repeated, reordered and late,
// gateways restarted at any point.
TEST(Ceiling, GatewaysNeverExceedItTogether) {
    for (const int count : {2, 12, 300}) {
        for (std::uint64_t seed = 1; seed <= (count > 100 ? 2 : 12); ++seed) {
            Settings settings = settings_of_one_of_two();
            settings.plans[0].rate = 50;
            settings.plans[0].burst = 60;  // the ceiling alone binds
            const int set = std::min(count, 8);
            const double burst = 6.0 * set, rate = 3.0 * set;
            settings.plans[0].ceiling_rate = rate;
            settings.plans[0].ceiling_burst = burst;
            Fleet fleet(settings, count, seed);
            std::map<RequestId, double> units;
            double store = burst, lowest = burst;
            Micros at = fleet.now;
            for (int step = 0; step < 1500; ++step) {
                fleet.advance(Micros(4000 * (1 + fleet.random() % 8)));
                for (const auto& [rank, attempt] : fleet.sent) {
                    store =
                        std::min(burst, store + rate * std::chrono::duration<double>(fleet.now - at).count());
                    at = fleet.now;
                    store -= units[attempt.id];
                    units[attempt.id] = 0;
                    lowest = std::min(lowest, store);
                }
                fleet.sent.clear();
                const int rank = static_cast<int>(fleet.random() % static_cast<std::uint64_t>(set));
                if (fleet.random() % 200 == 0) fleet.restart(rank);
                if (step % 300 < 100) continue;  // idle spells let the parts fill
                for (int i = 0; i < 3; ++i) {
                    const auto id = static_cast<RequestId>(10 * step + i + 1);
                    units[id] = static_cast<double>(1 + fleet.random() % 3);
                    fleet.request(step % 7 < 4 ? 0 : rank, id, units[id], set);
                }
            }
            EXPECT_GE(lowest, -std::max(3.0, burst / 10)) << count << " gateways, seed " << seed;
            EXPECT_LT(lowest, burst / 2) << "not asked for in earnest: " << count << ", seed " << seed;
        }
    }
}

}  // namespace gateway::decision::test

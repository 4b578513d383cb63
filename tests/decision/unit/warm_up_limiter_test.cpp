#include "warm_up_limiter.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// The limiter releases 10 units a second when warm. It stores at most 20 permits, 10 of them above the
// threshold.
constexpr double stable_interval_s = 0.1;
constexpr double warm_up_s = 2;
constexpr double max_stored_permits = 20;
// Seconds that the first permit costs when all permits are stored: nearly 3 stable intervals, by the cold
// factor of 3.
constexpr double cold_interval_s = 0.29;
constexpr double microsecond = 1e-6;

class WarmUpLimiterTest : public testing::Test {
  protected:
    WarmUpLimiterTest() { limiter.refill(start_time, stable_interval_s, warm_up_s); }

    // Reserves permits and returns the resulting delay of the next request in seconds.
    double delay_of(double permits) {
        const Micros before = limiter.next_free();
        limiter.reserve(permits, stable_interval_s, warm_up_s);
        return to_seconds(limiter.next_free() - before);
    }

    WarmUpLimiter limiter;
};

TEST_F(WarmUpLimiterTest, TheFirstRequestIsReleasedAtOnceAndDelaysTheNextByTheColdInterval) {
    EXPECT_EQ(limiter.next_free(), start_time);
    EXPECT_NEAR(delay_of(1), cold_interval_s, microsecond);
}

TEST_F(WarmUpLimiterTest, WithoutStoredPermitsTheNextRequestIsDelayedByTheStableInterval) {
    // 2 s for the 10 permits above the threshold, then 1 s for the 10 permits below it.
    EXPECT_NEAR(delay_of(max_stored_permits), warm_up_s + 1, microsecond);
    EXPECT_NEAR(delay_of(1), stable_interval_s, microsecond);
}

TEST_F(WarmUpLimiterTest, NoPermitIsStoredBeforeTheNextRequestMayBeReleased) {
    delay_of(max_stored_permits);
    const Micros next_free = limiter.next_free();

    limiter.refill(next_free - 1us, stable_interval_s, warm_up_s);

    EXPECT_EQ(limiter.next_free(), next_free);
    EXPECT_NEAR(delay_of(1), stable_interval_s, microsecond);
}

TEST_F(WarmUpLimiterTest, TheLimiterIsColdAgainAfterAnIdleWarmUpTimeAndNoColderLater) {
    delay_of(max_stored_permits);
    limiter.refill(limiter.next_free() + 2s, stable_interval_s, warm_up_s);
    EXPECT_NEAR(delay_of(1), cold_interval_s, microsecond);

    limiter.refill(limiter.next_free() + 1h, stable_interval_s, warm_up_s);
    EXPECT_NEAR(delay_of(1), cold_interval_s, microsecond);
}

}  // namespace
}  // namespace gateway::decision

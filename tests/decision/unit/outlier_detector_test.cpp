#include "outlier_detector.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr double objective_s = 1;

class OutlierDetectorTest : public testing::Test {
  protected:
    void end_attempt(Outcome outcome, Micros elapsed = 10ms) {
        AttemptEnded ended;
        ended.outcome = outcome;
        ended.elapsed = elapsed;
        outliers.record_outcome(host, ended);
    }

    EventContext event;
    SlowStart slow_start{event.context};
    HostRegistry hosts{event.context, slow_start};
    LoadEstimator load{event.context, hosts};
    OutlierDetector outliers{event.context, load};
    Host host;
};

TEST_F(OutlierDetectorTest, ThreeConsecutiveFailuresEjectAHostForHalfASecond) {
    end_attempt(Outcome::error);
    end_attempt(Outcome::reset);
    end_attempt(Outcome::success);
    end_attempt(Outcome::error);
    end_attempt(Outcome::reset);
    for (const Outcome no_failure : {Outcome::rejected, Outcome::cancelled, Outcome::not_sent})
        end_attempt(no_failure);
    EXPECT_FALSE(outliers.is_ejected(host));
    end_attempt(Outcome::error);
    EXPECT_TRUE(outliers.is_ejected(host));

    event.advance(500ms - 1us);
    EXPECT_TRUE(outliers.is_ejected(host));
    event.advance(1us);
    EXPECT_FALSE(outliers.is_ejected(host));
}

TEST_F(OutlierDetectorTest, EachFurtherEjectionLastsTwiceAsLongUpToEightSeconds) {
    for (const Micros expected : {500ms, 1000ms, 2000ms, 4000ms, 8000ms, 8000ms}) {
        end_attempt(Outcome::connect_failed);
        EXPECT_EQ(host.outlier.ejected_until - event.context.now(), expected);
        event.advance(expected);
    }
}

TEST_F(OutlierDetectorTest, ATimeoutCountsOnlyIfTheHostWasSilentThroughoutTheAttempt) {
    outliers.record_response(host);
    event.advance(100ms);
    end_attempt(Outcome::timeout, 100ms);
    EXPECT_EQ(host.outlier.failures, 0) << "the host responded at the moment at which the attempt was sent";

    end_attempt(Outcome::timeout, 100ms - 1us);
    EXPECT_EQ(host.outlier.failures, 1);
}

TEST_F(OutlierDetectorTest, APenaltyRaisesTheCostForOneTrafficClassForTwentySeconds) {
    outliers.penalize(host, 2);
    EXPECT_DOUBLE_EQ(outliers.cost_factor(host, 2), 16);
    EXPECT_DOUBLE_EQ(outliers.cost_factor(host, 1), 1);
    EXPECT_FALSE(outliers.is_ejected(host));

    event.advance(20s);
    EXPECT_DOUBLE_EQ(outliers.cost_factor(host, 2), 1);
}

TEST_F(OutlierDetectorTest, AFailedHealthCheckDoesNotShortenAnEjection) {
    outliers.record_failed_health_check(host);
    EXPECT_EQ(host.outlier.ejected_until, start_time + 250ms);
    event.advance(250ms);
    EXPECT_FALSE(outliers.is_ejected(host));

    end_attempt(Outcome::connect_failed);
    outliers.record_failed_health_check(host);
    EXPECT_EQ(host.outlier.ejected_until, event.context.now() + 500ms);
}

TEST_F(OutlierDetectorTest, SilenceEjectsAHostWithMissingResponses) {
    host.load.response_s = 1;
    outliers.record_response(host);
    event.advance(1s);
    EXPECT_FALSE(outliers.eject_if_silent(host, start_time, objective_s)) << "no attempt is in flight";
    host.load.in_flight = 3;
    EXPECT_FALSE(outliers.eject_if_silent(host, start_time, objective_s))
        << "fewer than 3.5 responses are missing";
    host.load.in_flight = 4;
    EXPECT_FALSE(outliers.eject_if_silent(host, event.context.now(), objective_s))
        << "the attempt was sent just now";
    EXPECT_FALSE(outliers.is_ejected(host));

    EXPECT_TRUE(outliers.eject_if_silent(host, start_time, objective_s));
    EXPECT_TRUE(outliers.is_ejected(host));
    EXPECT_EQ(outliers.silence_check_delay(objective_s), 250ms)
        << "the shortest delay, because no response was seen";
}

}  // namespace
}  // namespace gateway::decision

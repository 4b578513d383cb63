#include "slow_start.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr Micros slow_start_time = 10s;

class SlowStartTest : public testing::Test {
  protected:
    static Settings slow_start_settings() {
        Settings settings = fleet_settings(1);
        settings.slow_start_time = slow_start_time;
        settings.slow_start_capacity = 0.2;
        return settings;
    }
    static Host host_started(const std::string& name, Micros started) {
        Host host;
        host.entry.host = name;
        host.entry.started = started;
        host.slow_start.considered_at = start_time;
        return host;
    }

    EventContext event{slow_start_settings()};
    SlowStart slow_start{event.context};
    Host warm = host_started("warm", 0us);
    Host warming = host_started("warming", start_time);
};

TEST_F(SlowStartTest, TheCapacityShareGrowsLinearlyFromTheHostsStart) {
    EXPECT_DOUBLE_EQ(slow_start.capacity_share(warm), 1) << "started long ago";
    EXPECT_DOUBLE_EQ(slow_start.capacity_share(warming), 0.2);
    EXPECT_DOUBLE_EQ(slow_start.capacity_share(host_started("future", start_time + 1s)), 0.2);

    event.advance(slow_start_time / 2);
    EXPECT_DOUBLE_EQ(slow_start.capacity_share(warming), 0.6);
    event.advance(slow_start_time / 2);
    EXPECT_DOUBLE_EQ(slow_start.capacity_share(warming), 1);
}

TEST_F(SlowStartTest, AWarmingHostIsRestrictedOnlyWhileAWarmHostIsUsable) {
    slow_start.update(warming);
    EXPECT_FALSE(slow_start.restricts(warming));

    slow_start.update(warm);
    EXPECT_TRUE(slow_start.restricts(warming));
    EXPECT_FALSE(slow_start.restricts(warm));

    warm.entry.state = HostState::draining;
    slow_start.update(warm);
    EXPECT_FALSE(slow_start.restricts(warming));
}

TEST_F(SlowStartTest, ARequestIsAdmittedOnlyIfTimeHasPassedSinceTheHostWasLastConsidered) {
    const double small_request = 0.001;
    slow_start.update(warm);
    slow_start.update(warming);
    slow_start.record_sent(warm, 1000);
    event.advance(1s);

    EXPECT_TRUE(slow_start.admits(warming, small_request));
    EXPECT_FALSE(slow_start.admits(warming, small_request))
        << "no time has passed since the last consideration";
}

TEST_F(SlowStartTest, NoRequestIsAdmittedWhileWarmHostsGetNoRequests) {
    slow_start.update(warm);
    slow_start.update(warming);
    event.advance(1s);

    EXPECT_FALSE(slow_start.admits(warming, 1));
}

TEST_F(SlowStartTest, AHostCountsAsWarmFromTheEndOfItsSlowStart) {
    slow_start.update(warming);
    event.advance(slow_start_time - 1us);
    slow_start.refresh();
    EXPECT_FALSE(warming.slow_start.counted_as_warm);
    EXPECT_TRUE(warming.slow_start.in_warming_set);

    event.advance(1us);
    slow_start.refresh();
    EXPECT_TRUE(warming.slow_start.counted_as_warm);
    EXPECT_FALSE(warming.slow_start.in_warming_set);
}

}  // namespace
}  // namespace gateway::decision

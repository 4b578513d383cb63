#include "context.h"

#include <gtest/gtest.h>

#include <limits>
#include <stdexcept>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

void expect_invalid(const Settings& settings) {
    EXPECT_THROW(Context(settings, random_seed, start_time), std::invalid_argument);
}

TEST(Context, InvalidSettingsAreRejected) {
    expect_invalid(fleet_settings(2, 2));
    expect_invalid(fleet_settings(2, -1));

    Settings without_attempts = fleet_settings(1);
    without_attempts.max_attempts = 0;
    expect_invalid(without_attempts);

    Settings negative_plan = fleet_settings(1);
    negative_plan.plans.emplace_back().ceiling_burst = -1;
    expect_invalid(negative_plan);

    Settings without_deadline = fleet_settings(1);
    without_deadline.classes.front().deadline = 0us;
    expect_invalid(without_deadline);
}

TEST(Context, NoncesIncreaseByTwoAndSkipZeroWhenTheyWrapAround) {
    EventContext event;
    const auto set_to_highest = [](std::uint32_t& nonce) {
        nonce = std::numeric_limits<std::uint32_t>::max();  // odd, as all nonces are
    };
    event.context.serialize_nonce(set_to_highest);

    EXPECT_EQ(event.context.next_nonce(), std::numeric_limits<std::uint32_t>::max());
    EXPECT_EQ(event.context.next_nonce(), 1u);
}

TEST(Context, TimerTokenContainsKindAndSubject) {
    EventContext event;
    // The largest subject whose token fits 64 bits for every kind.
    const std::uint64_t largest_subject = std::numeric_limits<std::uint64_t>::max() / 10 - 1;

    event.context.set_timer(3ms, largest_subject, TimerKind::inherited_in_flight);

    const auto timers = event.emitted<SetTimer>();
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_EQ(timers[0].from_now, 3ms);
    EXPECT_EQ(read_timer_token(timers[0].token).subject, largest_subject);
    EXPECT_EQ(read_timer_token(timers[0].token).kind, TimerKind::inherited_in_flight);
}

TEST(Context, TimerDurationIsAtLeastOneMicrosecond) {
    EventContext event;

    event.context.set_timer(0us, 1, TimerKind::deadline);
    event.context.set_timer(-5ms, 1, TimerKind::deadline);

    for (const SetTimer& timer : event.emitted<SetTimer>()) EXPECT_EQ(timer.from_now, 1us);
}

TEST(Context, StallLastsFromAMissedHeartbeatToTheEndOfTheEventThatDetectsIt) {
    EventContext event;

    event.advance(300ms);
    EXPECT_FALSE(event.context.stalled());
    event.advance(1us);
    EXPECT_TRUE(event.context.stalled());
    event.context.heartbeat();
    EXPECT_TRUE(event.context.stalled()) << "the stall lasts until the end of the event that detects it";
    event.advance(1us);
    EXPECT_FALSE(event.context.stalled());
}

}  // namespace
}  // namespace gateway::decision

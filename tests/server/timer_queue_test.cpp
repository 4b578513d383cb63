#include "timer_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

struct TimerQueueTest : ::testing::Test {
    boost::asio::io_context io;
    Clock clock;
    std::vector<std::string> fired;
    TimerQueue queue{io,
                     clock,
                     {[this](std::uint64_t token) { fired.push_back("timer " + std::to_string(token)); },
                      [this](decision::RequestId id) { fired.push_back("deadline " + std::to_string(id)); }}};
};

TEST_F(TimerQueueTest, RunsEntriesInOrderOfTheirDueTimes) {
    const Micros now = clock.now();
    queue.add_timer(now + 6ms, 3);
    queue.add_deadline(now + 4ms, 2);
    queue.add_timer(now + 2ms, 1);
    queue.arm();
    io.run();
    EXPECT_EQ(fired, (std::vector<std::string>{"timer 1", "deadline 2", "timer 3"}));
    EXPECT_GE(clock.now(), now + 6ms);
}

TEST_F(TimerQueueTest, WakesUpForAnEarlierEntryThatIsAddedLater) {
    const Micros now = clock.now();
    queue.add_timer(now + 1h, 2);
    queue.arm();
    queue.add_timer(now + 1ms, 1);
    queue.arm();
    // Runs the cancelled wake-up that the second call of `arm` replaces.
    io.run_one();
    io.run_one();
    EXPECT_EQ(fired, std::vector<std::string>{"timer 1"});
}

TEST_F(TimerQueueTest, RunsNothingUnlessItIsArmed) {
    queue.add_timer(clock.now(), 1);
    io.run();
    EXPECT_TRUE(fired.empty());
}

// Regression: the timers of requests that had long been answered stayed in memory until they were due, so
// that one client that sent small requests at full speed let the memory grow up to the longest deadline.
TEST_F(TimerQueueTest, DropsEntriesThatNoLongerApplyWhenItGrows) {
    constexpr std::uint64_t entries = 10 * TimerQueue::min_entries_to_compact;
    constexpr std::uint64_t applying_every = 1000;
    const auto applies = [](std::uint64_t id) { return id % applying_every == 0; };
    TimerQueue growing(
        io, clock,
        {[this](std::uint64_t token) { fired.push_back(std::to_string(token)); },
         [this](decision::RequestId id) { fired.push_back(std::to_string(id)); }, applies, applies});
    const Micros due = clock.now() + 1s;
    for (std::uint64_t id = 0; id < entries; ++id) {
        if (id % 2 == 0) growing.add_timer(due, id);
        else growing.add_deadline(due, id);
        ASSERT_LE(growing.size(), 2 * TimerQueue::min_entries_to_compact);
    }
    growing.arm();
    io.run();
    const auto count = std::count_if(fired.begin(), fired.end(),
                                     [&](const std::string& id) { return applies(std::stoull(id)); });
    EXPECT_EQ(static_cast<std::uint64_t>(count), (entries + applying_every - 1) / applying_every);
}

}  // namespace
}  // namespace gateway::server::test

#include "timer_queue.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace gateway::server::test

#include "decaying_counter.h"

#include <gtest/gtest.h>

#include <cmath>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr double memory_s = 2;

TEST(DecayingCounter, DecaysByAFactorOfEInOneTimeConstant) {
    DecayingCounter counter;
    EXPECT_DOUBLE_EQ(counter.value(start_time, memory_s), 0);

    counter.add(5, start_time, memory_s);

    EXPECT_DOUBLE_EQ(counter.value(start_time, memory_s), 5);
    EXPECT_DOUBLE_EQ(counter.value(start_time + 2s, memory_s), 5 * std::exp(-1.0));
}

TEST(DecayingCounter, NewEntryIsAddedToTheDecayedSum) {
    DecayingCounter counter;
    counter.add(5, start_time, memory_s);

    counter.add(1, start_time + 2s, memory_s);

    EXPECT_DOUBLE_EQ(counter.value(start_time + 2s, memory_s), 5 * std::exp(-1.0) + 1);
}

TEST(DecayingCounter, NegativeEntryCancelsAnEarlierEntry) {
    DecayingCounter counter;
    counter.add(5, start_time, memory_s);

    counter.add(-counter.value(start_time + 1s, memory_s), start_time + 1s, memory_s);

    EXPECT_DOUBLE_EQ(counter.value(start_time + 1s, memory_s), 0);
}

}  // namespace
}  // namespace gateway::decision

// Tests of the store of trace ids that must not be executed again.
#include "executed_trace_ids.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

TEST(ExecutedTraceIds, ContainsAnIdUntilItsRetentionEnds) {
    ExecutedTraceIds ids;
    EXPECT_FALSE(ids.contains("a", 1s));
    ids.add("a", 1s);
    EXPECT_TRUE(ids.contains("a", 1s + ExecutedTraceIds::retention - 1us));
    EXPECT_FALSE(ids.contains("b", 1s));
    EXPECT_FALSE(ids.contains("a", 1s + ExecutedTraceIds::retention));
}

TEST(ExecutedTraceIds, RemovesTheOldestIdBeyondTheLimit) {
    ExecutedTraceIds ids;
    for (std::size_t i = 0; i <= ExecutedTraceIds::max_ids; ++i) ids.add(std::to_string(i), 1s);
    EXPECT_FALSE(ids.contains("0", 1s));
    EXPECT_TRUE(ids.contains("1", 1s));
    EXPECT_TRUE(ids.contains(std::to_string(ExecutedTraceIds::max_ids), 1s));
}

TEST(ExecutedTraceIds, AnotherProcessContainsTheSerializedIds) {
    ExecutedTraceIds ids, other;
    ids.add("a", 1s);
    ids.add("b", 2s);
    EXPECT_EQ(ids.serialize().size(), 2 * ExecutedTraceIds::serialized_length);
    other.restore(ids.serialize(), 50s);
    EXPECT_TRUE(other.contains("a", 51s));
    EXPECT_TRUE(other.contains("b", 51s));
    EXPECT_FALSE(other.contains("c", 51s));
}

// The two processes of an upgrade may be of different versions.
TEST(ExecutedTraceIds, TheSerializedFormIsTheSameInEachVersion) {
    ExecutedTraceIds ids;
    ids.add("a", 1s);
    EXPECT_EQ(ids.serialize(), "af63dc4c8601ec8c");
}

TEST(ExecutedTraceIds, IgnoresMalformedText) {
    ExecutedTraceIds ids;
    for (const char* text : {"", "af63", "not hexadecimal!", "af63dc4c8601ec8 af63dc4c8601ec8c"})
        ids.restore(text, 1s);
    EXPECT_TRUE(ids.serialize().empty());
}

}  // namespace
}  // namespace gateway::server::test

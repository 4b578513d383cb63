#include "snapshot_codec.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <unordered_map>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

TEST(SnapshotCodec, ValuesAreReadInTheOrderInWhichTheyWereWritten) {
    std::string name("with a \0 byte", 13);
    double rate = 2.5;
    bool active = true;
    std::map<std::string, int> counts{{"first", 1}, {"second", -2}};
    std::set<std::string> absent;
    SnapshotWriter writer;
    writer(name, rate, active, counts, absent);
    const std::string bytes = writer.take();

    std::string read_name;
    double read_rate = 0;
    bool read_active = false;
    std::map<std::string, int> read_counts;
    std::set<std::string> read_absent;
    SnapshotReader reader(bytes);
    reader(read_name, read_rate, read_active, read_counts, read_absent);

    EXPECT_EQ(read_name, name);
    EXPECT_DOUBLE_EQ(read_rate, rate);
    EXPECT_TRUE(read_active);
    EXPECT_EQ(read_counts, counts);
    EXPECT_TRUE(read_absent.empty());
}

TEST(SnapshotCodec, BytesDoNotDependOnTheOrderOfAHashTable) {
    std::unordered_map<std::uint32_t, int> ascending;
    std::unordered_map<std::uint32_t, int> descending(1000);
    for (std::uint32_t key = 0; key < 100; ++key) ascending[key] = 1;
    for (std::uint32_t key = 100; key-- > 0;) descending[key] = 1;
    SnapshotWriter first;
    first(ascending);
    SnapshotWriter second;
    second(descending);

    EXPECT_EQ(first.take(), second.take());
}

TEST(SnapshotCodec, TimesAreShiftedToTheReadersClockExceptZeroAndUnshiftedTimes) {
    Micros time = 10s;
    Micros none{0};
    Micros unshifted = 20s;
    SnapshotWriter writer;
    writer(time, none);
    writer.unshifted_time(unshifted);
    writer(time);
    const std::string bytes = writer.take();

    Micros shifted{0};
    Micros still_none{0};
    Micros read_unshifted{0};
    Micros shifted_again{0};
    SnapshotReader reader(bytes);
    reader.shift_times(3s);
    reader(shifted, still_none);
    reader.unshifted_time(read_unshifted);
    reader(shifted_again);

    EXPECT_EQ(shifted, 13s);
    EXPECT_EQ(still_none, 0s);
    EXPECT_EQ(read_unshifted, 20s);
    EXPECT_EQ(shifted_again, 13s);
}

void expect_truncated(const std::string& bytes) {
    SnapshotReader reader(bytes);
    std::string name;
    EXPECT_THROW(reader(name), std::out_of_range) << bytes.size();
}

TEST(SnapshotCodec, ReadingTruncatedBytesThrows) {
    std::string name = "customer";
    SnapshotWriter writer;
    writer(name);
    const std::string bytes = writer.take();

    for (std::size_t size = 0; size < bytes.size(); ++size) expect_truncated(bytes.substr(0, size));
}

}  // namespace
}  // namespace gateway::decision

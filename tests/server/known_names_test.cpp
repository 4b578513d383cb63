// Tests of the retention of host names.
#include "known_names.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

// If no name were removed, a fleet that replaces 55,000 hosts a day would reach the memory limit.
TEST(KnownNames, NamesAreRemovedAfterTheRetentionTimeUnlessBanned) {
    const auto name_of = [](int host) { return std::string("h").append(std::to_string(host)); };
    KnownNames known_names(10min);
    Steady::time_point now{};
    std::size_t max_size = 0;
    for (int host = 0; host < 10000; ++host, now += 1s) {
        known_names.add(name_of(host));
        if (host > 0) known_names.mark_gone(name_of(host - 1), now);
        known_names.remove_expired(now, {"h7"});
        max_size = std::max(max_size, known_names.size());
    }
    EXPECT_LE(max_size, 602u);
    EXPECT_TRUE(known_names.contains("h9999"));
    EXPECT_TRUE(known_names.contains("h9900"));
    EXPECT_FALSE(known_names.contains("h100"));
    EXPECT_TRUE(known_names.contains("h7")) << "the name of a banned host was removed";
    known_names.mark_unlisted_gone({"h3"}, now);
    known_names.add("h3");
    known_names.remove_expired(now + 10min, {});
    EXPECT_EQ(known_names.names(), std::vector<std::string>{"h3"});
}

}  // namespace
}  // namespace gateway::server::test

#include "known_names.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

// 55,000 hosts replaced a day would end in the memory limit.
TEST(KnownNames, AreForgottenSomeTimeAfterTheirHostsAreGone) {
    const auto to_string = [](int host) { return std::string("h").append(std::to_string(host)); };
    KnownNames names(10min);
    Steady::time_point now{};
    std::size_t most = 0;
    for (int host = 0; host < 10000; ++host, now += 1s) {
        names.listed(to_string(host));
        if (host > 0) names.gone(to_string(host - 1), now);
        names.forget_old(now, {"h7"});
        most = std::max(most, names.size());
    }
    EXPECT_LE(most, 602u);
    EXPECT_TRUE(names.contains("h9999"));
    EXPECT_TRUE(names.contains("h9900"));
    EXPECT_FALSE(names.contains("h100"));
    EXPECT_TRUE(names.contains("h7")) << "banned";
    names.only({"h3"}, now);
    names.listed("h3");
    names.forget_old(now + 10min, {});
    EXPECT_EQ(names.all(), std::vector<std::string>{"h3"});
}

}  // namespace
}  // namespace gateway::server::test

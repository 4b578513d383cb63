// Tests of the format of log lines, the log level and the rate limit.
#include "log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

struct LogTest : ::testing::Test {
    ~LogTest() override { set_log_level(nullptr); }
    // Returns the text that `write` writes to standard error.
    template <class Write>
    static std::string captured_output(Write write) {
        testing::internal::CaptureStderr();
        write();
        return testing::internal::GetCapturedStderr();
    }
};

TEST_F(LogTest, ALineContainsLevelTimeEventAndQuotedValues) {
    const std::string line = captured_output([] {
        LogLine(LogLevel::warning, "accept_failed")
            .with("error", "Too many \"open\" files\n")
            .with("count", 3)
            .with("took", 1500us)
            .with("host", "h1");
    });
    EXPECT_NE(line.find("level=warning mono="), std::string::npos) << line;
    EXPECT_NE(
        line.find(
            "event=accept_failed error=\"Too many \\\"open\\\" files?\" count=3 took=1.500ms host=h1\n"),
        std::string::npos)
        << line;
}

TEST_F(LogTest, LinesBelowTheLevelAreNotWritten) {
    const auto debug_line = [] { LogLine(LogLevel::debug, "attempt"); };
    EXPECT_EQ(captured_output(debug_line), "");
    set_log_level("no such level");
    EXPECT_EQ(captured_output(debug_line), "");
    set_log_level("debug");
    EXPECT_NE(captured_output(debug_line), "");
    set_log_level("off");
    EXPECT_EQ(captured_output([] { LogLine(LogLevel::error, "anything"); }), "");
}

TEST_F(LogTest, LinesBeyondTheRateLimitAreDroppedAndCounted) {
    const std::string lines = captured_output([] {
        for (int i = 0; i < 5000; ++i) LogLine(LogLevel::info, "endpoint_list_received");
    });
    EXPECT_LT(std::count(lines.begin(), lines.end(), '\n'), 4000);
    const std::string next = captured_output([] {
        const auto until = std::chrono::steady_clock::now() + 20ms;
        while (std::chrono::steady_clock::now() < until) {
        }
        LogLine(LogLevel::info, "endpoint_list_received");
    });
    EXPECT_NE(next.find("lines_dropped="), std::string::npos) << next;
}

}  // namespace
}  // namespace gateway::server::test

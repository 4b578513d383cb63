// Tests of the parser for load reports.
#include "load_report.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {

TEST(LoadReport, ReadsValidFieldsAndSkipsMalformedAndUnknownOnes) {
    // Field names as in the settings, which hosts use, and as in the example of the protocol.
    for (const char* text :
         {"TEXT backlog=2, utilization=0.61, outstanding=7", "TEXT inflight=7, queue=2, util=0.61"}) {
        const auto complete = read_load_report(text);
        EXPECT_EQ(complete.outstanding, 7) << text;
        EXPECT_EQ(complete.queued, 2) << text;
        EXPECT_EQ(complete.utilization, 0.61) << text;
    }
    const auto partial = read_load_report("inflight=x, queue=-1,,util, =, new=3, util=0.5");
    EXPECT_EQ(partial.outstanding, -1);
    EXPECT_EQ(partial.queued, -1);
    EXPECT_EQ(partial.utilization, 0.5);
    EXPECT_EQ(read_load_report("").queued, -1);
}

}  // namespace
}  // namespace gateway::server::test

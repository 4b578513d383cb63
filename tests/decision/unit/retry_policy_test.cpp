#include "retry_policy.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

class RetryPolicyTest : public testing::Test {
  protected:
    // Takes retries until the budget is spent and returns how many there were.
    int take_all_retries() {
        int taken = 0;
        while (retries.take_retry()) ++taken;
        return taken;
    }

    EventContext event;
    RetryPolicy retries{event.context};
};

TEST_F(RetryPolicyTest, TheBudgetIsFiveRetriesWithoutAnyRequest) { EXPECT_EQ(take_all_retries(), 5); }

TEST_F(RetryPolicyTest, AHundredRequestsAddFifteenRetriesToTheBudget) {
    for (int sent = 0; sent < 100; ++sent) retries.record_first_attempt();

    EXPECT_EQ(take_all_retries(), 20);
}

TEST_F(RetryPolicyTest, ASpentBudgetRecoversAsPastRetriesDecay) {
    ASSERT_EQ(take_all_retries(), 5);

    event.advance(10s);

    // 5/e, or 1.8, of the retries still count.
    EXPECT_EQ(take_all_retries(), 3);
}

TEST_F(RetryPolicyTest, RequestsOfLongAgoAddNothingToTheBudget) {
    for (int sent = 0; sent < 100; ++sent) retries.record_first_attempt();

    event.advance(1h);

    EXPECT_EQ(take_all_retries(), 5);
}

}  // namespace
}  // namespace gateway::decision

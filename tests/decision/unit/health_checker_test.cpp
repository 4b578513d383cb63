#include "health_checker.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {

TEST(HealthChecker, ChecksBeyondTheBudgetAreRefusedAndTakeNothing) {
    EventContext event;
    HealthChecker checker(event.context);

    checker.credit_request();  // the budget holds four checks at most and is already full

    EXPECT_FALSE(checker.take_checks(5));
    EXPECT_TRUE(checker.take_checks(4));
    EXPECT_FALSE(checker.take_checks(1));
    EXPECT_TRUE(checker.take_checks(0));
}

TEST(HealthChecker, EachRequestCreditsOneGatewaysPartOfTwelveChecks) {
    EventContext event(fleet_settings(24));
    HealthChecker checker(event.context);
    ASSERT_TRUE(checker.take_checks(4));

    checker.credit_request();
    EXPECT_FALSE(checker.take_checks(1));
    checker.credit_request();
    EXPECT_TRUE(checker.take_checks(1));
}

TEST(HealthChecker, RequestsWaitingForTheSameHostShareOneCheck) {
    EventContext event;
    HealthChecker checker(event.context);
    Host host;
    host.entry.host = "host";

    checker.await_check(host, 1);
    checker.await_check(host, 2);
    ASSERT_EQ(event.emitted<CheckHealth>().size(), 1u);
    EXPECT_EQ(event.emitted<CheckHealth>()[0].host, "host");
    EXPECT_EQ(HealthChecker::end_check(host), (std::vector<RequestId>{1, 2}));
    EXPECT_TRUE(HealthChecker::end_check(host).empty());

    checker.await_check(host, 3);
    EXPECT_EQ(event.emitted<CheckHealth>().size(), 2u) << "the previous health check has ended";
}

}  // namespace
}  // namespace gateway::decision

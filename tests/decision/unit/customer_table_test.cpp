#include "customer_table.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

RequestArrived request_of(const std::string& customer) {
    RequestArrived request;
    request.customer = customer;
    return request;
}

TEST(CustomerTable, QuotaOfANewCustomerRefillsFromTheStartOfTheProcess) {
    EventContext event;
    CustomerTable customers(event.context);
    event.advance(3s);

    const Customer& customer = customers.find_or_create(request_of("acme"));

    EXPECT_EQ(customer.hash, name_hash("acme"));
    EXPECT_EQ(customer.quota.refilled_at, start_time);
    EXPECT_EQ(customer.last_used_at, start_time + 3s);
    EXPECT_EQ(customers.find(name_hash("acme")), &customer);
    EXPECT_EQ(customers.find(name_hash("other")), nullptr);
}

TEST(CustomerTable, KnownCustomerKeepsItsPlanAndItsLargestSet) {
    EventContext event(fleet_settings(8));
    CustomerTable customers(event.context);
    RequestArrived request = request_of("acme");
    request.plan = 2;
    request.set_size = 4;
    customers.find_or_create(request);

    request.plan = 1;
    request.set_size = 3;
    const Customer& customer = customers.find_or_create(request);

    EXPECT_EQ(customer.plan, 2);
    EXPECT_EQ(customer.set_size, 4);
}

TEST(CustomerTable, SetIsLimitedToTheFleet) {
    EventContext event(fleet_settings(8));
    CustomerTable customers(event.context);
    RequestArrived too_large = request_of("large");
    too_large.set_size = 100;
    too_large.set_start = 17;
    RequestArrived empty_set = request_of("empty");
    empty_set.set_size = 0;
    empty_set.set_start = -1;

    EXPECT_EQ(customers.find_or_create(too_large).set_size, 8);
    EXPECT_EQ(customers.find_or_create(too_large).set_start, 1);
    EXPECT_EQ(customers.find_or_create(empty_set).set_size, 1);
    EXPECT_EQ(customers.find_or_create(empty_set).set_start, 7);
}

TEST(CustomerTable, IdleTimeoutIsTheLongestRefillTimeAndAtLeastTenSeconds) {
    EventContext without_plans;
    EXPECT_EQ(CustomerTable(without_plans.context).idle_timeout(), 10s);

    Settings settings = fleet_settings(1);
    Plan& plan = settings.plans.emplace_back();
    plan.rate = 2;
    plan.burst = 50;
    plan.ceiling_rate = 0;
    plan.ceiling_burst = 1000;  // has no effect without a ceiling rate
    EventContext with_plan(settings);
    EXPECT_EQ(CustomerTable(with_plan.context).idle_timeout(), 25s);
}

TEST(CustomerTable, CustomerExpiresAtTheEndOfTheIdleTimeout) {
    EventContext event;
    CustomerTable customers(event.context);
    customers.find_or_create(request_of("acme"));

    event.advance(customers.idle_timeout() - 1us);
    customers.expire_idle();
    EXPECT_NE(customers.find(name_hash("acme")), nullptr);

    event.advance(1us);
    customers.expire_idle();
    EXPECT_EQ(customers.find(name_hash("acme")), nullptr);
}

TEST(CustomerTable, CustomerWithWorkInProgressDoesNotExpire) {
    EventContext event;
    CustomerTable customers(event.context);
    customers.find_or_create(request_of("open request")).requests = 1;
    customers.find_or_create(request_of("attempt in flight")).permits.in_flight = 1;
    customers.find_or_create(request_of("lease request")).quota.pending_nonce = 1;
    customers.find_or_create(request_of("prefetch")).quota.prefetching = true;
    customers.find_or_create(request_of("overdue grant")).quota.overdue = 1;

    event.advance(1h);
    customers.expire_idle();

    EXPECT_EQ(std::distance(customers.begin(), customers.end()), 5);
}

}  // namespace
}  // namespace gateway::decision

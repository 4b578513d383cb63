#include "quota_leases.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr int own_rank = 1;
constexpr int holder_rank = 0;

enum PlanIndex { quota_plan, ceiling_plan };

// Settings of the gateway with rank 1 in a set of 4. The lease holder has rank 0, the only fallback holder
// rank 2.
Settings borrower_settings() {
    Settings settings = fleet_settings(4, own_rank);
    settings.may_message_peers = true;
    settings.plans.resize(2);
    settings.plans[quota_plan].rate = 10;
    settings.plans[quota_plan].burst = 100;
    settings.plans[ceiling_plan].ceiling_rate = 8;
    settings.plans[ceiling_plan].ceiling_burst = 80;
    return settings;
}

class QuotaLeasesTest : public testing::Test {
  protected:
    QuotaLeasesTest() {
        customer.hash = 8;
        customer.plan = quota_plan;
        customer.set_size = 4;
        customer.quota.refilled_at = start_time;
    }

    // Sends a lease request to the lease holder and returns its nonce.
    std::uint32_t acquire_from_peer(double units) {
        EXPECT_TRUE(std::holds_alternative<LeaseRequested>(leases.acquire(customer, units)));
        return customer.quota.pending_nonce;
    }
    static LeaseGrant grant_of(std::uint32_t nonce, double units, double ceiling_units = 0) {
        LeaseGrant grant;
        grant.nonce = nonce;
        grant.units = units;
        grant.ceiling_units = ceiling_units;
        return grant;
    }

    EventContext event{borrower_settings()};
    QuotaLedger ledger{event.context};
    PeerMessenger messenger{event.context};
    QuotaLeases leases{event.context, ledger, messenger};
    Customer customer;
};

TEST_F(QuotaLeasesTest, LeaseRequestContainsTheDeficitAndStartsATimeout) {
    customer.quota.tokens = 1;
    EXPECT_TRUE(leases.covers(customer, 1));
    EXPECT_FALSE(leases.covers(customer, 3));

    const std::uint32_t nonce = acquire_from_peer(3);

    const auto sent = event.sent_to_peers<LeaseRequest>();
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(event.emitted<SendMessage>().front().to, holder_rank);
    EXPECT_EQ(sent[0].nonce, nonce);
    EXPECT_DOUBLE_EQ(sent[0].required_units, 2);
    EXPECT_DOUBLE_EQ(sent[0].prefetch_units, 0);
    EXPECT_DOUBLE_EQ(sent[0].ceiling_units, 0);
    const SetTimer timer = event.emitted<SetTimer>().back();
    EXPECT_EQ(timer.from_now, 150ms);
    EXPECT_EQ(read_timer_token(timer.token).kind, TimerKind::lease_request);
    EXPECT_EQ(read_timer_token(timer.token).subject, nonce);
}

TEST_F(QuotaLeasesTest, OwnLedgerGrantsImmediatelyAndSilentPeersLeaveNoLeaseHolder) {
    customer.hash = 9;  // this gateway is the lease holder
    const LeaseAnswer granted = leases.acquire(customer, 3);
    ASSERT_TRUE(std::holds_alternative<LeaseGrant>(granted));
    EXPECT_DOUBLE_EQ(std::get<LeaseGrant>(granted).units, 3);

    customer.hash = 8;
    for (const int peer : {0, 2}) {
        messenger.record_unanswered(peer, start_time);
        messenger.record_unanswered(peer, start_time);
    }
    EXPECT_TRUE(std::holds_alternative<NoLeaseHolder>(leases.acquire(customer, 3)));
    EXPECT_TRUE(event.actions.empty());
}

TEST_F(QuotaLeasesTest, GrantIsAcceptedOnceAndOnlyFromTheGatewayThatReceivedTheRequest) {
    const std::uint32_t nonce = acquire_from_peer(3);

    EXPECT_FALSE(leases.accept(2, grant_of(nonce, 3)));
    EXPECT_FALSE(leases.accept(holder_rank, grant_of(nonce + 2, 3)));
    const auto accepted = leases.accept(holder_rank, grant_of(nonce, 3));
    ASSERT_TRUE(accepted);
    EXPECT_EQ(accepted->customer, &customer);
    EXPECT_TRUE(accepted->for_waiting_request);
    EXPECT_EQ(customer.quota.pending_nonce, 0u);
    EXPECT_FALSE(leases.accept(holder_rank, grant_of(nonce, 3)));
}

TEST_F(QuotaLeasesTest, GrantLaterThanTwoTimeoutsContainsNoCeilingUnits) {
    customer.plan = ceiling_plan;
    const std::uint32_t in_time = acquire_from_peer(3);
    event.advance(300ms);
    EXPECT_DOUBLE_EQ(leases.accept(holder_rank, grant_of(in_time, 0, 3))->grant.ceiling_units, 3);

    const std::uint32_t late = acquire_from_peer(3);
    event.advance(300ms + 1us);
    EXPECT_DOUBLE_EQ(leases.accept(holder_rank, grant_of(late, 0, 3))->grant.ceiling_units, 0);
}

TEST_F(QuotaLeasesTest, OverdueGrantIsAcceptedUntilItsRequestExpires) {
    const std::uint32_t answered_late = acquire_from_peer(1);
    const std::uint32_t never_answered = acquire_from_peer(1);
    event.advance(150ms);
    EXPECT_EQ(leases.on_timeout(answered_late), &customer);
    EXPECT_EQ(leases.on_timeout(never_answered), &customer);
    EXPECT_EQ(customer.quota.overdue, 2);

    const auto accepted = leases.accept(holder_rank, grant_of(answered_late, 1));
    ASSERT_TRUE(accepted);
    EXPECT_FALSE(accepted->for_waiting_request);

    event.advance(5s - 150ms - 1us);
    leases.expire_overdue();
    EXPECT_EQ(customer.quota.overdue, 1);
    event.advance(1us);
    leases.expire_overdue();
    EXPECT_EQ(customer.quota.overdue, 0);
    EXPECT_FALSE(leases.accept(holder_rank, grant_of(never_answered, 1)));
}

TEST_F(QuotaLeasesTest, TimeoutDuringAStallIsPostponed) {
    const std::uint32_t nonce = acquire_from_peer(1);
    event.advance(1s);  // without a heartbeat, so the process counts as stalled
    event.actions.clear();

    EXPECT_EQ(leases.on_timeout(nonce), nullptr);

    EXPECT_EQ(customer.quota.pending_nonce, nonce);
    ASSERT_EQ(event.emitted<SetTimer>().size(), 1u);
    EXPECT_EQ(event.emitted<SetTimer>().front().from_now, 150ms);
}

TEST_F(QuotaLeasesTest, OnlyOnePrefetchIsInFlightAndItIsNotUrgent) {
    leases.prefetch(customer, 2);
    leases.prefetch(customer, 2);

    EXPECT_TRUE(customer.quota.prefetching);
    EXPECT_TRUE(event.emitted<SendMessage>().empty());
    event.advance(messenger.queueing_delay(holder_rank));
    messenger.on_flush_timer(holder_rank);
    const auto sent = event.sent_to_peers<LeaseRequest>();
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_DOUBLE_EQ(sent[0].required_units, 0);
    EXPECT_DOUBLE_EQ(sent[0].prefetch_units, 6) << "a prefetch requests three times the request's units";
    const auto accepted = leases.accept(holder_rank, grant_of(sent[0].nonce, 6));
    ASSERT_TRUE(accepted);
    EXPECT_FALSE(accepted->for_waiting_request);
    EXPECT_FALSE(customer.quota.prefetching);
}

TEST_F(QuotaLeasesTest, HolderIsExhaustedForRequestsOfTheRejectedSizeUntilTheWaitEnds) {
    EXPECT_EQ(leases.mark_exhausted(customer, LeaseGrant{}), 150ms)
        << "the wait is at least the timeout of a lease request";
    LeaseGrant empty_grant;
    empty_grant.retry_after_ms = 2000;
    EXPECT_EQ(leases.mark_exhausted(customer, empty_grant), 2s);
    QuotaLeases::record_rejected(customer, 5);

    EXPECT_EQ(leases.exhausted_for(customer, 5), 2s);
    EXPECT_EQ(leases.exhausted_for(customer, 4.9), std::nullopt);
    event.advance(2s);
    EXPECT_EQ(leases.exhausted_for(customer, 5), std::nullopt);
}

TEST_F(QuotaLeasesTest, EvenSliceCoversOneRequestAtATime) {
    EXPECT_EQ(leases.take_even_slice(customer, 1), std::nullopt);
    EXPECT_DOUBLE_EQ(customer.quota.tokens, 1);
    EXPECT_EQ(leases.take_even_slice(customer, 1), std::nullopt) << "the tokens already cover the request";
    EXPECT_DOUBLE_EQ(customer.quota.tokens, 1);

    leases.reserve(customer, 1, true);
    EXPECT_EQ(leases.take_even_slice(customer, 1), 400ms)
        << "the even slice is a quarter of 10 units per second";
    event.advance(400ms);
    EXPECT_EQ(leases.take_even_slice(customer, 1), std::nullopt);
}

TEST_F(QuotaLeasesTest, ReservedCeilingUnitsAreSpentOrReleased) {
    customer.plan = ceiling_plan;
    event.advance(4s);
    leases.refill(customer);
    EXPECT_DOUBLE_EQ(customer.quota.ceiling_tokens, 4) << "half of the ceiling is split among 4 gateways";

    leases.reserve(customer, 3, true);
    EXPECT_DOUBLE_EQ(leases.ceiling_deficit(customer, 3), 2);
    EXPECT_EQ(leases.ceiling_wait(customer, 3), 2s);
    leases.release(customer, 3, true);
    EXPECT_DOUBLE_EQ(leases.ceiling_deficit(customer, 3), 0);
    leases.reserve(customer, 3, true);
    leases.spend_ceiling(customer, 3);
    EXPECT_DOUBLE_EQ(customer.quota.ceiling_tokens, 1);
    EXPECT_DOUBLE_EQ(customer.quota.ceiling_reserved, 0);
}

TEST_F(QuotaLeasesTest, DemandShareIsEvenWithoutARecentReportFromTheLeaseHolder) {
    leases.record_demand(customer, 20);  // 10 units per second at this gateway
    EXPECT_DOUBLE_EQ(leases.demand_share(customer), 0.25);

    LeaseGrant grant;
    grant.units = 1000;
    grant.demand = 20;
    leases.credit(customer, grant);
    EXPECT_DOUBLE_EQ(customer.quota.tokens, 100) << "the tokens are limited to the burst";
    EXPECT_DOUBLE_EQ(leases.demand_share(customer), 0.5);

    event.advance(5s + 1us);
    leases.record_demand(customer, 1000);
    EXPECT_DOUBLE_EQ(leases.demand_share(customer), 0.25);
}

}  // namespace
}  // namespace gateway::decision

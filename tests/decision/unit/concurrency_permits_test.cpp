#include "concurrency_permits.h"

#include <gtest/gtest.h>

#include <limits>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr std::uint32_t customer_hash = 8;  // rank 0 holds the lease
constexpr int own_rank = 0;
constexpr int first_peer = 1;
constexpr int second_peer = 2;

Settings permit_settings(int max_concurrency) {
    Settings settings = fleet_settings(4, own_rank);
    settings.may_message_peers = true;
    settings.plans.emplace_back().max_concurrency = max_concurrency;
    return settings;
}

// The modules that ConcurrencyPermits needs, and a customer whose requests arrive through all four gateways
// of the fleet.
struct PermitModules {
    explicit PermitModules(int max_concurrency) : event(permit_settings(max_concurrency)) {
        customer.hash = customer_hash;
        customer.plan = 0;
        customer.set_size = 4;
    }

    // Passes a permit request from the gateway with rank `from` to the lease holder.
    std::optional<PermitGrant> lend(int from, std::uint32_t nonce, int requested) {
        PermitRequest request;
        request.nonce = nonce;
        request.customer = customer_hash;
        request.set_size = 4;
        request.requested = requested;
        event.actions.clear();
        return permits.lend(request, from);
    }

    EventContext event;
    QuotaLedger ledger{event.context};
    PeerMessenger messenger{event.context};
    QuotaLeases leases{event.context, ledger, messenger};
    ConcurrencyPermits permits{event.context, ledger, leases, messenger};
    Customer customer;
};

TEST(ConcurrencyPermits, PermitIsAlwaysAvailableWithoutALimit) {
    PermitModules without_limit(0);
    without_limit.customer.permits.in_flight = 1000;
    EXPECT_TRUE(without_limit.permits.available(without_limit.customer));

    PermitModules unknown_plan(1);
    unknown_plan.customer.plan = -1;
    unknown_plan.customer.permits.in_flight = 1000;
    EXPECT_TRUE(unknown_plan.permits.available(unknown_plan.customer));
}

TEST(ConcurrencyPermits, EvenShareIsRoundedDownToAtLeastOnePermit) {
    PermitModules even_share_of_two(11);
    even_share_of_two.customer.permits.in_flight = 1;
    EXPECT_TRUE(even_share_of_two.permits.available(even_share_of_two.customer));
    even_share_of_two.customer.permits.admitted = 1;
    EXPECT_FALSE(even_share_of_two.permits.available(even_share_of_two.customer));

    PermitModules even_share_of_half(2);
    EXPECT_FALSE(even_share_of_half.permits.borrows(even_share_of_half.customer))
        << "an even share of half a permit is not below the threshold for borrowing";
    EXPECT_TRUE(even_share_of_half.permits.available(even_share_of_half.customer));
}

TEST(ConcurrencyPermits, ReturnedPermitIsLentToTheGatewayThatHasWaitedLongest) {
    PermitModules holder(1);
    holder.lend(first_peer, 11, 1);
    ASSERT_EQ(holder.event.sent_to_peers<PermitGrant>().size(), 1u);
    EXPECT_EQ(holder.event.sent_to_peers<PermitGrant>()[0].granted, 1);

    holder.lend(second_peer, 21, 1);
    ASSERT_EQ(holder.event.sent_to_peers<PermitGrant>().size(), 1u);
    EXPECT_EQ(holder.event.sent_to_peers<PermitGrant>()[0].granted, 0);
    EXPECT_EQ(holder.event.sent_to_peers<PermitGrant>()[0].queue_length, 1);

    holder.lend(first_peer, 13, 0);
    ASSERT_EQ(holder.event.sent_to_peers<PermitGrant>().size(), 1u);
    EXPECT_EQ(holder.event.emitted<SendMessage>()[0].to, second_peer);
    EXPECT_EQ(holder.event.sent_to_peers<PermitGrant>()[0].nonce, 21u);
    EXPECT_EQ(holder.event.sent_to_peers<PermitGrant>()[0].granted, 1);
}

TEST(ConcurrencyPermits, RequestOlderThanTheLatestOneIsIgnored) {
    PermitModules holder(1);
    const std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();
    ASSERT_TRUE(holder.lend(own_rank, highest, 1));

    EXPECT_FALSE(holder.lend(own_rank, highest - 2, 0));
    ASSERT_TRUE(holder.lend(own_rank, 1, 1)) << "nonces wrap around";
    EXPECT_FALSE(holder.lend(own_rank, highest, 0));
}

TEST(ConcurrencyPermits, PermitsExpireOneSecondAfterTheLatestRequest) {
    PermitModules holder(1);
    holder.lend(first_peer, 11, 1);

    holder.event.advance(1s - 1us);
    EXPECT_EQ(holder.lend(own_rank, 3, 1)->granted, 0);
    holder.event.advance(1us);
    EXPECT_EQ(holder.lend(own_rank, 5, 1)->granted, 1);
}

TEST(ConcurrencyPermits, GrantAnswersTheLatestRequestAndExpiresOneSecondAfterIt) {
    PermitModules borrower(1);
    PermitState& state = borrower.customer.permits;
    state.waiting.push_back(1);
    const auto own_grant = borrower.permits.request(borrower.customer, false);
    ASSERT_TRUE(own_grant);
    EXPECT_FALSE(borrower.permits.request(borrower.customer, false))
        << "the number of needed permits has not changed";

    PermitGrant other_nonce = *own_grant;
    other_nonce.nonce += 2;
    EXPECT_FALSE(borrower.permits.accept(borrower.customer, other_nonce, own_rank));
    EXPECT_FALSE(borrower.permits.accept(borrower.customer, *own_grant, first_peer));
    EXPECT_FALSE(borrower.permits.available(borrower.customer));
    EXPECT_TRUE(borrower.permits.accept(borrower.customer, *own_grant, own_rank));
    EXPECT_TRUE(borrower.permits.available(borrower.customer));

    borrower.event.advance(250ms);
    EXPECT_TRUE(borrower.permits.renewal_due(borrower.customer));
    borrower.event.advance(750ms);
    EXPECT_FALSE(borrower.permits.available(borrower.customer));
}

}  // namespace
}  // namespace gateway::decision

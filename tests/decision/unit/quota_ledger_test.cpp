#include "quota_ledger.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr std::uint32_t customer_hash = 8;  // rank 0 holds the lease in sets from rank 0 on
constexpr double initial_units = 50;        // half of the burst

Settings ledger_settings(int instances, int rank) {
    Settings settings = fleet_settings(instances, rank);
    Plan& plan = settings.plans.emplace_back();
    plan.rate = 10;
    plan.burst = 100;
    plan.ceiling_rate = 20;
    plan.ceiling_burst = 40;
    return settings;
}

class QuotaLedgerTest : public testing::Test {
  protected:
    static LeaseRequest request_for(double need, double extra = 0, double hard = 0) {
        LeaseRequest request;
        request.nonce = 77;
        request.customer = customer_hash;
        request.set_size = 4;
        request.required_units = need;
        request.prefetch_units = extra;
        request.ceiling_units = hard;
        return request;
    }

    EventContext holder{ledger_settings(4, 0)};
    QuotaLedger ledger{holder.context};
};

TEST_F(QuotaLedgerTest, UnitsThatAreGrantedLeaveTheLedgerFirst) {
    const LeaseGrant first = ledger.grant(request_for(initial_units));
    EXPECT_EQ(first.nonce, 77u);
    EXPECT_DOUBLE_EQ(first.units, initial_units);
    EXPECT_EQ(first.retry_after_ms, 0u);

    const LeaseGrant second = ledger.grant(request_for(1));
    EXPECT_DOUBLE_EQ(second.units, 0);
    EXPECT_EQ(second.retry_after_ms, 101u) << "0.1 s for a unit, and a millisecond against rounding";
}

TEST_F(QuotaLedgerTest, AtMostHalfOfTheRestIsGrantedForPrefetching) {
    EXPECT_DOUBLE_EQ(ledger.grant(request_for(10, 5)).units, 15);
    EXPECT_DOUBLE_EQ(ledger.grant(request_for(5, 1000)).units, 5 + (35 - 5) / 2.0);
}

TEST_F(QuotaLedgerTest, GatewaysThatAreTurnedDownWaitInTurnAndForAMinuteAtMost) {
    EXPECT_EQ(ledger.grant(request_for(initial_units + 10)).retry_after_ms, 1'001u);
    EXPECT_EQ(ledger.grant(request_for(initial_units + 10)).retry_after_ms, 7'001u)
        << "6 s more for its own units";
    EXPECT_EQ(ledger.grant(request_for(10'000)).retry_after_ms, 60'001u);
}

TEST_F(QuotaLedgerTest, TheHolderGrantsFromItsShareOfTheCeiling) {
    // A new ledger has nothing of the ceiling. Documents the behaviour as it is: the wait is that of the
    // whole ceiling rate, while the holder's share refills at half of it.
    const LeaseGrant too_early = ledger.grant(request_for(0, 0, 1));
    EXPECT_DOUBLE_EQ(too_early.ceiling_units, 0);
    EXPECT_EQ(too_early.retry_after_ms, 51u);

    holder.advance(1h);
    const double full_share = 20;
    EXPECT_GT(ledger.grant(request_for(0, 0, full_share + 1)).retry_after_ms, 0u);
    EXPECT_DOUBLE_EQ(ledger.grant(request_for(0, 0, full_share)).ceiling_units, full_share);
}

TEST_F(QuotaLedgerTest, AFallbackHolderKeepsHalfOfTheBurstAndNothingOfTheCeiling) {
    EventContext fallback(ledger_settings(4, 1));
    QuotaLedger fallback_ledger(fallback.context);
    fallback.advance(1h);

    EXPECT_GT(fallback_ledger.grant(request_for(initial_units + 1)).retry_after_ms, 0u);
    EXPECT_GT(fallback_ledger.grant(request_for(0, 0, 1)).retry_after_ms, 0u);
    EXPECT_DOUBLE_EQ(fallback_ledger.grant(request_for(initial_units)).units, initial_units);
}

// Documents the behaviour as it is: only lease requests count as use of a ledger. One that keeps permits
// alone goes by the start of the process, whatever its permit holders requested since.
TEST_F(QuotaLedgerTest, ALedgerExpiresAfterItsLatestLeaseRequestWhateverItsPermits) {
    const Plan& plan = holder.context.settings().plans.front();
    ledger.permit_holders(customer_hash, plan).push_back({.rank = 2, .wanted = 1});
    holder.advance(10s - 1us);
    ledger.expire_idle(10s);
    EXPECT_EQ(ledger.permit_holders(customer_hash, plan).size(), 1u);

    ledger.grant(request_for(1));
    holder.advance(1us);
    ledger.expire_idle(10s);
    EXPECT_EQ(ledger.permit_holders(customer_hash, plan).size(), 1u) << "the lease request was a use";

    const std::uint32_t permits_only = customer_hash + 1;
    ledger.permit_holders(permits_only, plan).push_back({.rank = 2, .wanted = 1});
    ledger.expire_idle(10s);
    EXPECT_TRUE(ledger.permit_holders(permits_only, plan).empty()) << "dropped, though requested right now";
}

}  // namespace
}  // namespace gateway::decision

// The lease holder's part of quotas: the units that are not leased to any gateway yet.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "context.h"
#include "decaying_counter.h"
#include "peer_message.h"

namespace gateway::decision {

// Share of the burst that a new ledger starts with, and the maximum that a fallback holder's ledger holds.
inline constexpr double initial_burst_share = 0.5;
// Share of the ceiling that the lease holder grants from. The rest is split evenly among the gateways.
inline constexpr double holder_ceiling_share = 0.5;

// A gateway that holds or wants concurrency permits of a customer.
struct PermitHolder {
    int rank = 0;
    std::uint32_t nonce = 0;  // nonce of the gateway's latest request
    int requested = 0;        // number of permits that the gateway needs
    int granted = 0;          // number of permits that the gateway holds
    Micros valid_until{0};    // time at which the permits expire
};

// Owns the ledgers of the customers for which this gateway is the lease holder or a fallback holder.
class QuotaLedger {
  public:
    explicit QuotaLedger(Context& context) : context_(context) {}

    // Grants all required units or nothing, plus at most half of the remaining units for prefetching. An
    // empty grant reports the time to wait. Granted units are deducted from the ledger before the grant is
    // sent, so that the units of a lost grant are lost and no unit is granted twice. A holder that restarts
    // begins with a new ledger, so each restart can exceed the quota by at most one burst.
    LeaseGrant grant(const LeaseRequest& request);
    // The gateways that hold or need permits of the customer, with the longest waiting gateway first.
    [[nodiscard]] std::vector<PermitHolder>& permit_holders(std::uint32_t customer, const Plan& plan);
    // Removes ledgers that have served no lease request for `idle_timeout`.
    void expire_idle(Micros idle_timeout);
    // Removes all ledgers, because another process holds them now.
    void clear() { ledgers_.clear(); }

    void serialize(auto& codec) { codec(ledgers_); }

  private:
    struct Ledger {
        double tokens = 0;          // units of the quota
        double ceiling_tokens = 0;  // units of the holder's share of the ceiling
        Micros refilled_at{0};
        // Time by which the quota has refilled enough for the retries of all gateways that were rejected.
        Micros retries_scheduled_until{0};
        // Units requested by all gateways.
        DecayingCounter demand;
        // Not part of the snapshot, because gateways request their permits again.
        std::vector<PermitHolder> permit_holders;

        void serialize(auto& codec) {
            codec(tokens, ceiling_tokens, refilled_at, retries_scheduled_until, demand);
        }
    };

    Ledger& find_or_create(std::uint32_t customer, const Plan& plan);
    void refill(Ledger& ledger, const Plan& plan, bool is_holder);
    Micros schedule_retry(Ledger& ledger, const Plan& plan, double required);

    Context& context_;
    std::unordered_map<std::uint32_t, Ledger> ledgers_;  // by hash of the customer's name
};

}  // namespace gateway::decision

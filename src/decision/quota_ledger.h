// The lease holder's side of quotas: what no gateway holds a lease of yet.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "context.h"
#include "decaying_counter.h"
#include "peer_message.h"

namespace gateway::decision {

// Start share of an empty quota: a new ledger, or a fallback holder's, has so much of the burst.
inline constexpr double initial_burst_share = 0.5;
// Share of the ceiling that the lease holder grants from; the rest is split evenly among the gateways.
inline constexpr double holder_ceiling_share = 0.5;

// A gateway that holds or wants concurrency permits of a customer.
struct PermitHolder {
    int rank = 0;
    std::uint32_t nonce = 0;  // of its latest request
    int wanted = 0;
    int granted = 0;
    Micros valid_until{0};
};

// Owns the ledgers of the customers whose lease holder, or fallback holder, this gateway is.
class QuotaLedger {
  public:
    explicit QuotaLedger(Context& context) : context_(context) {}

    // Grants the units that are required or nothing, and at most half of the rest on top for prefetching.
    // They leave the ledger first, so that leases lost on the way are lost and none counts twice. Where
    // nothing is granted, tells how long to wait. Costs a burst at most for each holder that restarts.
    LeaseGrant grant(const LeaseRequest& request);
    // The gateways that hold or want permits of the customer, the one that waits longest first.
    [[nodiscard]] std::vector<PermitHolder>& permit_holders(std::uint32_t customer, const Plan& plan);
    // Drops ledgers unused for so long.
    void expire_idle(Micros idle_timeout);
    // Drops all, because another process holds them now.
    void clear() { ledgers_.clear(); }

    void serialize(auto& codec) { codec(ledgers_); }

  private:
    struct Ledger {
        double tokens = 0;          // units of the quota
        double ceiling_tokens = 0;  // units of the holder's share of the ceiling
        Micros refilled_at{0};
        Micros promised_until{0};  // by when all that were turned down could have been given what they lacked
        DecayingCounter demand;    // units asked for by all gateways
        std::vector<PermitHolder> permit_holders;  // not part of a snapshot: gateways request permits anew

        void serialize(auto& codec) { codec(tokens, ceiling_tokens, refilled_at, promised_until, demand); }
    };

    Ledger& find_or_create(std::uint32_t customer, const Plan& plan);
    void refill(Ledger& ledger, const Plan& plan, bool is_holder);
    Micros wait_in_turn(Ledger& ledger, const Plan& plan, double required);

    Context& context_;
    std::unordered_map<std::uint32_t, Ledger> ledgers_;  // by hash of the customer's name
};

}  // namespace gateway::decision

// The concurrency limit of a customer, shared by the gateways through which the customer's requests arrive.
#pragma once

#include <cstdint>
#include <optional>

#include "context.h"
#include "customer.h"
#include "peer_messenger.h"
#include "quota_leases.h"
#include "quota_ledger.h"

namespace gateway::decision {

// Each gateway's share of the limit follows its share of the customer's demand. If an even share would be
// less than half a permit, the lease holder lends permits instead.
class ConcurrencyPermits {
  public:
    ConcurrencyPermits(Context& context, QuotaLedger& ledger, const QuotaLeases& leases,
                       PeerMessenger& messenger)
        : context_(context), ledger_(ledger), leases_(leases), messenger_(messenger) {}

    // Whether one more request of the customer may be admitted.
    [[nodiscard]] bool available(const Customer& customer) const;
    // Whether this gateway borrows permits from the lease holder. Borrowing prevents attempts beyond the
    // limit, but adds a round trip to the lease holder. In smaller sets of gateways the round trip costs more
    // than borrowing saves.
    [[nodiscard]] bool borrows(const Customer& customer) const;
    // Expected wait of a request that joins the customer's queue now, if each answer takes `response_s`
    // seconds.
    [[nodiscard]] Micros expected_wait(const Customer& customer, double response_s) const;

    // Requests the permits that this gateway needs from the lease holder, if their number has changed or if
    // `renew` is set because the granted permits have to be renewed before they expire. If this gateway is
    // the lease holder, returns its own new grant, which the caller passes to `accept`.
    std::optional<PermitGrant> request(Customer& customer, bool renew);
    // Handles the customer's renewal timer: returns whether its permits have to be renewed now. Records the
    // latest request as unanswered if the lease holder has sent no message since.
    [[nodiscard]] bool renewal_due(const Customer& customer);
    // Clears the latest request, because the lease holder is silent and the even share applies.
    static void reset(Customer& customer);
    // Handles a permit request as the lease holder: lends one free permit to each gateway that needs more,
    // beginning with the gateway that has waited longest. A gateway that does not renew its permits loses
    // them. Returns the grant for this gateway itself, if there is one.
    std::optional<PermitGrant> lend(const PermitRequest& request, int from);
    // Applies a grant to the customer. Returns false if it does not answer this gateway's latest request.
    [[nodiscard]] bool accept(Customer& customer, const PermitGrant& grant, int from);

  private:
    [[nodiscard]] double permits(const Customer& customer) const;
    [[nodiscard]] int holder(const Customer& customer) const;
    [[nodiscard]] static bool is_superseded(const PermitRequest& request, const PermitHolder& holder);

    Context& context_;
    QuotaLedger& ledger_;
    const QuotaLeases& leases_;
    PeerMessenger& messenger_;
};

}  // namespace gateway::decision

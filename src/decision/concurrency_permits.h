// The limit on a customer's attempts in flight, shared by the gateways of its set.
#pragma once

#include <cstdint>
#include <optional>

#include "context.h"
#include "customer.h"
#include "peer_messenger.h"
#include "quota_leases.h"
#include "quota_ledger.h"

namespace gateway::decision {

// Each gateway has a share of the limit by its share of the demand. Where an even share would be less than
// half a permit, the lease holder lends permits instead.
class ConcurrencyPermits {
  public:
    ConcurrencyPermits(Context& context, QuotaLedger& ledger, const QuotaLeases& leases,
                       PeerMessenger& messenger)
        : context_(context), ledger_(ledger), leases_(leases), messenger_(messenger) {}

    // Whether one more request of the customer may be admitted.
    [[nodiscard]] bool available(const Customer& customer) const;
    // Whether permits are lent by the lease holder. Guards against attempts beyond the limit; costs the way
    // there, which is more than it saves in smaller sets.
    [[nodiscard]] bool borrows(const Customer& customer) const;
    // How long a request that joins the customer's queue now waits, at `response_s` seconds an answer.
    [[nodiscard]] Micros expected_wait(const Customer& customer, double response_s) const;

    // Tells the lease holder how many permits are of use here, once that has changed or (`renew`) what is
    // granted runs out. Where this gateway is the holder: its own new grant, to be accepted next.
    std::optional<PermitGrant> request(Customer& customer, bool renew);
    // The customer's renewal timer has fired: whether its permits are to be renewed now. Counts a holder that
    // has not answered.
    [[nodiscard]] bool renewal_due(const Customer& customer);
    // Forgets what was requested, because the holder is silent and the even share counts.
    static void reset(Customer& customer);
    // The holder's side: lends free permits one each in turn, to who has waited longest first. A gateway that
    // is not heard of loses its permits. Returns the own grant, where there is one.
    std::optional<PermitGrant> lend(const PermitRequest& request, int from);
    // Takes a grant for the customer; false where it answers no request of this gateway.
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

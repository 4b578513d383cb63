// The borrower's part of quotas: the leases that this gateway holds and requests, and the even slice of the
// quota that applies if no lease holder answers.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

#include "context.h"
#include "customer.h"
#include "peer_messenger.h"
#include "quota_ledger.h"

namespace gateway::decision {

// A lease request was sent to a peer. Its grant or its timeout follows.
struct LeaseRequested {};
// No lease holder can be reached. The even slice of the quota applies.
struct NoLeaseHolder {};
// The result of QuotaLeases::acquire: the grant of this gateway's own ledger, a pending request to a peer, or
// neither.
using LeaseAnswer = std::variant<LeaseGrant, LeaseRequested, NoLeaseHolder>;

// A grant that answers a lease request of this gateway.
struct AcceptedGrant {
    Customer* customer;
    LeaseGrant grant;
    bool for_waiting_request;  // false: the lease was prefetched, or its request counted as lost
};

// Decides whether this gateway's tokens cover a request, and requests, prefetches and accounts for leases.
class QuotaLeases {
  public:
    QuotaLeases(Context& context, QuotaLedger& ledger, PeerMessenger& messenger)
        : context_(context), ledger_(ledger), messenger_(messenger) {}

    // Refills this gateway's own share of the customer's ceiling.
    void refill(Customer& customer);
    // Adds a request's units to the recent demand.
    void record_demand(Customer& customer, double units);
    // This gateway's share of the customer's recent demand, from the even share to 1. It is the even share if
    // no lease holder has reported the fleet's demand recently.
    [[nodiscard]] double demand_share(const Customer& customer) const;

    // Whether the tokens at this gateway cover a request of `units`.
    [[nodiscard]] bool covers(const Customer& customer, double units) const;
    // Units that this gateway's share of the ceiling lacks for a request of `units`.
    [[nodiscard]] double ceiling_deficit(const Customer& customer, double units) const;
    // Time for which the lease holder has no lease for a request of `units`; std::nullopt if unknown.
    [[nodiscard]] std::optional<Micros> exhausted_for(const Customer& customer, double units) const;
    // Records that the lease holder has granted nothing. Returns the time until it could grant a lease.
    Micros mark_exhausted(Customer& customer, const LeaseGrant& empty_grant);
    // Records that a request of `units` was rejected because the lease holder is exhausted.
    static void record_rejected(Customer& customer, double units);

    // Requests the units that a request of `units` lacks from the lease holder, or from a fallback holder if
    // the lease holder is silent.
    LeaseAnswer acquire(Customer& customer, double units);
    // Requests a lease for predicted demand once the tokens do not cover another request of `units` or the
    // demand until a lease request is answered. Without prefetching, every request would wait for a lease of
    // its own. The cost is that about the units of one request are held at this gateway while other gateways
    // could use them.
    void prefetch(Customer& customer, double units);
    // Adds the granted units to the customer's tokens.
    void credit(Customer& customer, const LeaseGrant& grant);
    // Adds the missing tokens if the even slice of the quota covers a request of `units`, and returns
    // std::nullopt. Otherwise returns the time until the even slice covers it. The even slice covers one
    // request at a time. It keeps customers served when messages are lost or lease holders fail, and exceeds
    // the quota by at most one request for each gateway of the set.
    [[nodiscard]] std::optional<Micros> take_even_slice(Customer& customer, double units);
    // Time until this gateway's share of the ceiling covers a request of `units`.
    [[nodiscard]] Micros ceiling_wait(const Customer& customer, double units) const;

    // Deducts the tokens of a request that is admitted, and reserves its units of the ceiling.
    void reserve(Customer& customer, double units, bool within_quota);
    // Spends the reserved units of the ceiling when an admitted request is forwarded for the first time.
    void spend_ceiling(Customer& customer, double units);
    // Undoes `reserve` for an admitted request that ends without being forwarded.
    void release(Customer& customer, double units, bool within_quota);
    // Corrects the tokens after a request used `actual` units instead of the `reserved` ones.
    static void correct(Customer& customer, double reserved, double actual);

    // Accepts a grant from a peer. Returns std::nullopt if it answers no pending request of this gateway to
    // that peer.
    [[nodiscard]] std::optional<AcceptedGrant> accept(int from, LeaseGrant grant);
    // Handles the timeout of a lease request. Returns the customer that has to acquire a lease again, or
    // null.
    [[nodiscard]] Customer* on_timeout(std::uint32_t nonce);
    // Removes overdue lease requests that were sent at least `sweep_period` ago.
    void expire_overdue();

    // Drops all lease requests, because another process holds the quotas now.
    void abandon_requests() { pending_.clear(); }
    static void abandon_requests(Customer& customer);
    // Empties the customer's quota at this gateway, except for the units that admitted requests have
    // reserved.
    void reset(Customer& customer);
    // Counts the units of the ceiling as spent that the predecessor process had reserved and not forwarded.
    static void spend_inherited_reservations(Customer& customer);

  private:
    struct PendingLease {
        Customer* customer;
        int to;          // rank of the peer
        Micros sent_at;  // time at which the request leaves the outbox
        bool prefetch = false;
        bool overdue = false;  // the request counts as lost, but its grant may still arrive
    };
    using PendingLeases = std::unordered_map<std::uint32_t, PendingLease>;

    [[nodiscard]] double deficit(const Customer& customer, double units) const;
    [[nodiscard]] static double even_ceiling(const Customer& customer, double ceiling);
    [[nodiscard]] double upcoming_demand(const Customer& customer) const;
    [[nodiscard]] int holder(const Customer& customer, int fallback) const;
    std::uint32_t send_request(Customer& customer, int to, LeaseRequest request, bool prefetch);
    Customer& close(PendingLeases::iterator lease);

    Context& context_;
    QuotaLedger& ledger_;
    PeerMessenger& messenger_;
    PendingLeases pending_;  // by nonce
};

}  // namespace gateway::decision

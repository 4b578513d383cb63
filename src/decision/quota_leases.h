// The borrower's side of quotas: leases held and requested here, and what to do where no holder answers.
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

// A lease request has been sent; its grant or its timeout follows.
struct LeaseRequested {};
// No lease holder is there to be asked: the even slice of the quota decides.
struct NoLeaseHolder {};
// The answer to a request for a lease: granted by this gateway's own ledger, requested from a peer, or
// neither.
using LeaseAnswer = std::variant<LeaseGrant, LeaseRequested, NoLeaseHolder>;

// A grant that answers a lease request of this gateway.
struct AcceptedGrant {
    Customer* customer;
    LeaseGrant grant;
    bool for_waiting;  // false: prefetched, or come after it counted as lost
};

class QuotaLeases {
  public:
    QuotaLeases(Context& context, QuotaLedger& ledger, PeerMessenger& messenger)
        : context_(context), ledger_(ledger), messenger_(messenger) {}

    // Refills this gateway's own share of the customer's ceiling.
    void refill(Customer& customer);
    // Counts a request's units as recent demand.
    void record_demand(Customer& customer, double units);
    // This gateway's share of the customer's recent demand, from 0 to 1; the even split where no holder
    // reported it lately.
    [[nodiscard]] double demand_share(const Customer& customer) const;

    // Whether what is held here covers a request of so many units.
    [[nodiscard]] bool covers(const Customer& customer, double units) const;
    // Units that the customer's own share of the ceiling lacks for such a request.
    [[nodiscard]] double ceiling_deficit(const Customer& customer, double units) const;
    // How long the lease holder has nothing for such a request; nothing where that is not known.
    [[nodiscard]] std::optional<Micros> exhausted_for(const Customer& customer, double units) const;
    // The lease holder has nothing now. Returns the wait until it could have.
    Micros mark_exhausted(Customer& customer, const LeaseGrant& empty_grant);
    // A request of so many units was turned down for that.
    static void record_turned_down(Customer& customer, double units);

    // Asks for what a request of so many units lacks: the holder, else its fallbacks.
    LeaseAnswer acquire(Customer& customer, double units);
    // Asks ahead once the tokens would not cover the next request like this one, or the demand until a lease
    // request is answered. Guards against every request waiting for a lease of its own; costs what then lies
    // here while others could use it, a request's units or so.
    void prefetch(Customer& customer, double units);
    // Puts a grant into the customer's tokens.
    void credit(Customer& customer, const LeaseGrant& grant);
    // The tokens that the even slice of the quota covers, one request at once; otherwise the wait until it
    // would. Guards against lost messages and dead holders; exceeds the quota by a request for each gateway
    // of the set at most.
    [[nodiscard]] std::optional<Micros> take_even_slice(Customer& customer, double units);
    // How long the own share of the ceiling takes to cover such a request.
    [[nodiscard]] Micros ceiling_wait(const Customer& customer, double units) const;

    // A request is admitted: takes its tokens and reserves its part of the ceiling.
    void reserve(Customer& customer, double units, bool within_quota);
    // It is forwarded for the first time: its part of the ceiling is spent.
    void spend_ceiling(Customer& customer, double units);
    // It ends without being forwarded: gives back what it had reserved.
    void release(Customer& customer, double units, bool within_quota);
    // A request has turned out to take other units than were reserved.
    static void correct(Customer& customer, double reserved, double actual);

    // A grant has come from a peer. Nothing where it answers no request of this gateway.
    [[nodiscard]] std::optional<AcceptedGrant> accept(int from, LeaseGrant grant);
    // The timer of a lease request has fired. Returns the customer that has to acquire again, or null.
    [[nodiscard]] Customer* on_timeout(std::uint32_t nonce);
    // Forgets requests whose grant has not come for long.
    void expire_overdue();

    // Another process holds the quotas now: forgets all lease requests.
    void abandon_requests() { pending_.clear(); }
    static void abandon_requests(Customer& customer);
    // Quotas start from nothing at this process, except what admitted requests have reserved.
    void reset(Customer& customer);
    // What the process before this one had reserved of the ceiling and not forwarded counts as spent.
    static void settle_inherited(Customer& customer);

  private:
    struct PendingLease {
        Customer* customer;
        int to;          // rank
        Micros sent_at;  // when it left the outbox
        bool prefetch = false;
        bool overdue = false;  // counts as lost; its grant may come all the same
    };
    using PendingLeases = std::unordered_map<std::uint32_t, PendingLease>;

    [[nodiscard]] double deficit(const Customer& customer, double units) const;
    [[nodiscard]] static double even_ceiling(const Customer& customer, double of_ceiling);
    [[nodiscard]] double upcoming_demand(const Customer& customer) const;
    [[nodiscard]] int holder(const Customer& customer, int place) const;
    std::uint32_t send_request(Customer& customer, int to, LeaseRequest request, bool prefetch);
    Customer& close(PendingLeases::iterator lease);

    Context& context_;
    QuotaLedger& ledger_;
    PeerMessenger& messenger_;
    PendingLeases pending_;  // by nonce
};

}  // namespace gateway::decision

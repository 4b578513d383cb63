// The state of one customer at this gateway, which QuotaLeases, ConcurrencyPermits and WarmUpLimiter
// maintain.
#pragma once

#include <cstdint>
#include <vector>

#include "decaying_counter.h"
#include "gateway/interface.h"
#include "warm_up_limiter.h"

namespace gateway::decision {

// This gateway's part of a customer's quota. Written by QuotaLeases.
struct QuotaState {
    // Time at which the tokens of the ceiling were last refilled.
    Micros refilled_at{0};
    // Units of the quota that this gateway may still forward.
    double tokens = 0;
    // Time at which the even slice next covers a request. Used if no lease holder answers.
    Micros even_slice_at{0};
    // Units of the recent requests at this gateway.
    DecayingCounter demand;
    // Demand at all gateways in units per second, as the lease holder reported it.
    double fleet_demand = 0;
    // Time at which the lease holder reported `fleet_demand`; 0: never.
    Micros fleet_demand_at{0};
    // Until this time, the lease holder grants nothing to requests of `exhausted_for_units` or more.
    Micros exhausted_until{0};
    double exhausted_for_units = 0;
    // Units of the ceiling that this gateway's own share holds.
    double ceiling_tokens = 0;
    // The part of `ceiling_tokens` that is reserved for requests admitted and not forwarded yet.
    double ceiling_reserved = 0;
    // Nonce of the lease request in flight for a waiting request; 0: none.
    std::uint32_t pending_nonce = 0;
    // Whether a lease request for predicted demand is in flight.
    bool prefetching = false;
    // Number of lease requests sent for the first waiting request.
    int lease_requests_sent = 0;
    // Number of lease requests that count as lost and are still tracked.
    int overdue = 0;
    // Requests that wait for a lease. A vector, because an empty std::deque takes 600 bytes.
    std::vector<RequestId> waiting;
};

// The use of a customer's concurrency limit at this gateway. Written by ConcurrencyPermits and RequestFlow.
struct PermitState {
    int in_flight = 0;               // number of attempts in flight
    int admitted = 0;                // number of requests admitted and not forwarded yet
    int granted = 0;                 // number of permits lent by the lease holder
    int requested = 0;               // number of permits in the latest permit request
    int queue_length = 0;            // number of permits that gateways of the set wait for
    std::uint32_t nonce = 0;         // nonce of the latest permit request
    Micros requested_at{0};          // time of the latest permit request
    Micros valid_until{0};           // time at which the granted permits expire
    std::vector<RequestId> waiting;  // requests that wait for a permit
};

// One customer. The serialized fields are the part that a successor process restores.
struct Customer {
    std::uint32_t hash = 0;  // hash of the customer's name
    int plan = -1;           // index into Settings::plans; below 0: unknown, no quota
    int set_size = 1;        // number of gateways through which the customer's requests arrive
    int set_start = 0;       // rank of the first such gateway
    Micros last_used_at{0};  // time of the customer's latest request
    int requests = 0;        // number of requests that are not completed
    QuotaState quota;
    PermitState permits;
    WarmUpLimiter limiter;

    void serialize(auto& codec) {
        codec(hash, plan, set_size, set_start, quota.refilled_at, last_used_at, quota.tokens,
              quota.even_slice_at, quota.demand, quota.fleet_demand, quota.fleet_demand_at,
              quota.exhausted_until, quota.exhausted_for_units, quota.ceiling_tokens, quota.ceiling_reserved,
              permits.in_flight, permits.admitted, limiter);
    }
};

// The customer's plan, or null if it is unknown.
[[nodiscard]] inline const Plan* plan_of(const Settings& settings, const Customer& customer) {
    return customer.plan < 0 ? nullptr : &settings.plans[static_cast<std::size_t>(customer.plan)];
}

}  // namespace gateway::decision

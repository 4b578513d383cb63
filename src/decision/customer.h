// One customer of this gateway, with the parts that QuotaLeases, ConcurrencyPermits and WarmUpLimiter keep.
#pragma once

#include <cstdint>
#include <vector>

#include "decaying_counter.h"
#include "gateway/interface.h"
#include "warm_up_limiter.h"

namespace gateway::decision {

// A customer's quota as this gateway holds it. Written by QuotaLeases.
struct QuotaState {
    Micros refilled_at{0};            // when the ceiling's tokens were last refilled
    double tokens = 0;                // units of the quota that this gateway may still forward
    Micros even_slice_at{0};          // when the even slice next covers a unit, where no lease holder answers
    DecayingCounter demand;           // units asked for here
    double fleet_demand = 0;          // units a second asked for at all gateways, as the lease holder reports
    Micros fleet_demand_at{0};        // when it reported that; 0: never
    Micros exhausted_until{0};        // the lease holder has nothing until then
    double exhausted_for_units = 0;   // for requests of this size or more
    double ceiling_tokens = 0;        // of this gateway's own share of the ceiling
    double ceiling_reserved = 0;      // of these, for requests admitted and not forwarded yet
    std::uint32_t pending_nonce = 0;  // of the lease request in flight for a waiting request; 0: none
    bool prefetching = false;         // a lease request for likely demand is in flight
    int attempts = 0;                 // lease requests for the first waiting request
    int overdue = 0;                  // lease requests that count as lost and are still tracked
    std::vector<RequestId> waiting;   // requests that wait for a lease; a deque costs 600 bytes empty
};

// A customer's attempts against its concurrency limit. Written by ConcurrencyPermits and the request flow.
struct PermitState {
    int in_flight = 0;               // attempts sent
    int admitted = 0;                // requests admitted and not forwarded yet
    int granted = 0;                 // permits lent by the lease holder
    int wanted = 0;                  // permits of use here, as last requested
    int queue_length = 0;            // permits that gateways of the set wait for
    std::uint32_t nonce = 0;         // of the latest permit request
    Micros requested_at{0};          // time of that request
    Micros valid_until{0};           // end of what is granted
    std::vector<RequestId> waiting;  // requests that wait for a permit
};

struct Customer {
    std::uint32_t hash = 0;  // of the name
    int plan = -1;           // index into Settings::plans; below 0: unknown, no quota
    int set_size = 1;        // gateways through which the customer's requests arrive
    int set_start = 0;       // rank of the first of them
    Micros last_used_at{0};
    int requests = 0;  // in hand
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

// The customer's plan; null for an unknown one.
[[nodiscard]] inline const Plan* plan_of(const Settings& settings, const Customer& customer) {
    return customer.plan < 0 ? nullptr : &settings.plans[static_cast<std::size_t>(customer.plan)];
}

}  // namespace gateway::decision

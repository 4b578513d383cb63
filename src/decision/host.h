// One host, with the parts that OutlierDetector, LoadEstimator, SlowStart and HealthChecker keep.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decaying_counter.h"
#include "gateway/interface.h"

namespace gateway::decision {

// A host's failures. Written by OutlierDetector.
struct OutlierState {
    int failures = 0;         // in a row
    int ejections = 0;        // since the last success
    Micros ejected_until{0};  // gets no requests before
    Micros last_response_at{0};
    std::map<int, Micros> penalties;  // by traffic class, until when; see OutlierDetector::penalize
};

// A host's load as seen here. Written by LoadEstimator.
struct LoadState {
    static constexpr double initial_limit = 6;

    int in_flight = 0;             // own attempts
    double limit = initial_limit;  // adaptive concurrency limit: attempts by all gateways
    DecayingCounter answers;       // seen here lately
    double response_s = 0;         // mean response time; 0: none seen
    Micros reported_at{0};         // when it reported its load; 0: never
    double reported = -1;          // requests that it has by its own report; below 0: not reported
    bool idle = false;             // by its own report: nothing queues there
    bool reports_outstanding = false;
};

// A host's warming up. Written by SlowStart.
struct SlowStartState {
    Micros considered_at{0};  // when last considered for a request while warming up
    DecayingCounter sent;     // units sent there
    Micros warm_at{0};        // when it has its full capacity
    bool counted = false;     // among the warm hosts
    bool awaited = false;     // among those that are warming up
};

struct Host {
    HostEntry entry;           // as listed; `started` may be later than listed, for a host that was put back
    bool banned = false;       // by operators, whatever the list says
    std::uint32_t place = 0;   // in this gateway's order of hosts
    Micros reported_start{0};  // as the list reports it
    OutlierState outlier;
    LoadState load;
    SlowStartState slow_start;
    std::vector<RequestId> awaiting_health_check;  // requests that wait for the check in flight

    [[nodiscard]] bool usable() const { return entry.state == HostState::up && !banned; }

    // The start times are not of this process's clock.
    void serialize(auto& codec) {
        codec.stamp(reported_start);
        codec.stamp(entry.started);
        codec(load.limit, load.response_s, outlier.failures, outlier.ejections, slow_start.considered_at,
              outlier.last_response_at, outlier.ejected_until, load.answers, slow_start.sent);
    }
};

}  // namespace gateway::decision

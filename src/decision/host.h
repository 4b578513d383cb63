// One host, with the state that OutlierDetector, LoadEstimator, SlowStart and HealthChecker keep for it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decaying_counter.h"
#include "gateway/interface.h"

namespace gateway::decision {

// Failures and ejections of a host. Written by OutlierDetector.
struct OutlierState {
    int failures = 0;         // consecutive failures
    int ejections = 0;        // ejections since the last success
    Micros ejected_until{0};  // the host gets no requests before this time
    // The host's silence counts from this time: its latest response, the latest sending of an attempt while
    // no other one was in flight, or the latest reset of its state.
    Micros silent_since{0};
    // The time at which each penalty ends, by traffic class; see OutlierDetector::penalize.
    std::map<int, Micros> penalties;
};

// The load of a host as this gateway knows it. Written by LoadEstimator.
struct LoadState {
    static constexpr double initial_limit = 6;

    int in_flight = 0;  // this gateway's attempts in flight at the host
    // Adaptive concurrency limit: the most attempts of all gateways together at the host.
    double limit = initial_limit;
    // Decaying number of outcomes of this gateway's attempts, with the memory `response_memory_s`.
    DecayingCounter recent_outcomes;
    double response_s = 0;  // mean response time in seconds; 0: no response seen
    Micros reported_at{0};  // time of the latest load report; 0: none
    // Requests at the host by its load report, with those sent there since; below 0: not reported.
    double reported_outstanding = -1;
    bool idle = false;                 // the latest load report shows an empty queue, or no queue length
    bool reports_outstanding = false;  // the latest load report has the number of outstanding requests
};

// The slow start of a host. Written by SlowStart.
struct SlowStartState {
    Micros considered_at{0};       // when the host was last considered for a request while warming up
    DecayingCounter units_sent;    // units sent to the host, with the memory `sent_memory_s`
    Micros warm_at{0};             // when the host reaches its full capacity
    bool counted_as_warm = false;  // SlowStart counts it among the warm hosts
    bool in_warming_set = false;   // SlowStart holds it in its set of warming hosts
};

struct Host {
    // The entry of the endpoint list. Its `started` is the time from which the slow start counts. This time
    // may differ from the reported start, for example after an unban; see HostRegistry.
    HostEntry entry;
    bool banned = false;          // banned by operators; the endpoint list has no effect on it
    std::uint32_t order_key = 0;  // sort key in this gateway's order of hosts
    Micros reported_start{0};     // the start that the endpoint list reports
    OutlierState outlier;
    LoadState load;
    SlowStartState slow_start;
    std::vector<RequestId> awaiting_health_check;  // requests that wait for the health check in flight

    [[nodiscard]] bool usable() const { return entry.state == HostState::up && !banned; }

    // The start times come from the endpoint list, not from this process's clock, so the reader must not
    // shift them.
    void serialize(auto& codec) {
        codec.unshifted_time(reported_start);
        codec.unshifted_time(entry.started);
        codec(load.limit, load.response_s, outlier.failures, outlier.ejections, slow_start.considered_at,
              outlier.silent_since, outlier.ejected_until, load.recent_outcomes, slow_start.units_sent);
    }
};

}  // namespace gateway::decision

// Detects misbehaving hosts: ejects them after failures or silence, and penalizes them for single traffic
// classes.
#pragma once

#include "context.h"
#include "host.h"
#include "load_estimator.h"

namespace gateway::decision {

class OutlierDetector {
  public:
    OutlierDetector(Context& context, const LoadEstimator& load) : context_(context), load_(load) {}

    // Whether the host is ejected now, and so gets no requests.
    [[nodiscard]] bool is_ejected(const Host& host) const;
    // Factor on the cost of sending a request of the traffic class to the host; 1 without a penalty.
    [[nodiscard]] double cost_factor(const Host& host, int traffic_class) const;

    // Records that the host has responded or begun to respond.
    void record_response(Host& host);
    // Records that an attempt is sent to a host with no other attempt in flight. The host's silence counts
    // from now on.
    void record_first_in_flight(Host& host) { record_response(host); }
    // Updates the host's failures by the outcome of an attempt, and ejects the host after too many.
    void record_outcome(Host& host, const AttemptEnded& ended);
    // Penalizes the host for one traffic class, of which it rejected a request while responses were fast. For
    // a limited time requests of that class avoid the host, whatever the cause; other classes still use it.
    void penalize(Host& host, int traffic_class);
    // Ejects the host for `load_report_lifetime` after a failed health check.
    void record_failed_health_check(Host& host);

    // Delay from the sending of an attempt to the check whether its host is silent. `objective_s`: latency
    // objective in seconds.
    [[nodiscard]] Micros silence_check_delay(double objective_s) const;
    // Ejects the host and returns true if too many responses that were expected since `sent_at` are missing.
    // This guards against hosts that crash or stall without a sign, and against broken links. The cost: a
    // single slow request may eject a healthy host. `objective_s`: latency objective in seconds.
    bool eject_if_silent(Host& host, Micros sent_at, double objective_s);

  private:
    // Adds consecutive failures, and ejects the host when there are enough.
    void record_failures(Host& host, int count);

    Context& context_;
    const LoadEstimator& load_;
};

}  // namespace gateway::decision

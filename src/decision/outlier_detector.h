// Which hosts misbehave: ejections after failures or silence, and penalties for single traffic classes.
#pragma once

#include "context.h"
#include "host.h"
#include "load_estimator.h"

namespace gateway::decision {

class OutlierDetector {
  public:
    OutlierDetector(Context& context, const LoadEstimator& load) : context_(context), load_(load) {}

    // Whether the host gets no requests now.
    [[nodiscard]] bool is_ejected(const Host& host) const;
    // Factor on the cost of sending a request of that traffic class to the host; 1 without a penalty.
    [[nodiscard]] double cost_factor(const Host& host, int traffic_class) const;

    // The host has answered or begun to answer.
    void record_response(Host& host);
    // An attempt is sent, the only one in flight there: silence counts from now on.
    void record_first_in_flight(Host& host) { record_response(host); }
    // What the outcome of an attempt tells of the host's health.
    void record_outcome(Host& host, const AttemptEnded& ended);
    // The host rejected a request of that traffic class among fast answers. Whatever the cause, others keep
    // the host, but this class avoids it for a while.
    void penalize(Host& host, int traffic_class);
    // A health check has failed: the host is left alone for a moment.
    void record_failed_health_check(Host& host);

    // When to look whether an attempt's host is silent, after the attempt is sent.
    [[nodiscard]] Micros silence_check_delay(double objective_s) const;
    // Ejects the host where answers that were expected since `sent_at` are missing. Guards against silent
    // death, cut links and stalls; harms a slow lone request. `objective_s`: latency objective in seconds.
    bool eject_if_silent(Host& host, Micros sent_at, double objective_s);

  private:
    void record_failures(Host& host, int count);

    Context& context_;
    const LoadEstimator& load_;
};

}  // namespace gateway::decision

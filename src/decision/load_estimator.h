// Estimates the load of the hosts: response times, adaptive concurrency limits, and whether all hosts
// together are overloaded.
#pragma once

#include "context.h"
#include "decaying_counter.h"
#include "host.h"
#include "host_registry.h"

namespace gateway::decision {

class LoadEstimator {
  public:
    LoadEstimator(Context& context, const HostRegistry& hosts) : context_(context), hosts_(hosts) {}

    // ---- load of all hosts ----

    // Whether the hosts are overloaded. This begins when more than a quarter of the recent responses are slow
    // and ends when a fifth or less are.
    [[nodiscard]] bool overloaded() const noexcept { return overloaded_; }
    // Whether the hosts have capacity for requests beyond the quotas.
    [[nodiscard]] bool has_spare_capacity() const noexcept;
    // Mean response time in seconds; 0: no response seen yet.
    [[nodiscard]] double response_s() const noexcept { return response_s_; }
    // Expected response time in seconds for a request of `units`. Half of the mean response time is taken as
    // waiting, and half as work, which grows in proportion to the units.
    [[nodiscard]] double expected_response_s(double units) const;
    // Whether the mean response time is at most `slow_response_share` of the latency objective (in seconds).
    // Rejections and timeouts while responses are fast are due to one kind of request, not to load.
    [[nodiscard]] bool responds_fast(double objective_s) const noexcept;
    // Whether one more attempt fits into this gateway's share of the hosts' concurrency limits. The fraction
    // of the share beyond whole attempts is a probability, so a share below one opens the window at random.
    // This guards against hundreds of gateways that each see a host without a queue. The cost: requests are
    // held back needlessly while the other gateways are idle.
    [[nodiscard]] bool window_open();

    // ---- load of one host ----

    // Whether this gateway has enough recent outcomes from the host to send to it without a health check.
    [[nodiscard]] bool is_known(const Host& host) const;
    // Number of requests at the host. A fresh load report, plus the attempts sent since, counts fully at
    // first and loses weight with its age to this gateway's estimate. Without a fresh report, only the
    // estimate counts.
    [[nodiscard]] double outstanding(const Host& host) const;
    // The most attempts of all gateways at the host: its own limit, blended with the limit over all hosts.
    // The more recent outcomes the host has, the more its own limit counts.
    [[nodiscard]] double limit(const Host& host) const;
    // Mean response time of the host in seconds, blended with the mean over all hosts in the same way.
    [[nodiscard]] double blended_response_s(const Host& host) const;
    // The host's own mean response time in seconds; the mean over all hosts if the host has none.
    [[nodiscard]] double typical_response_s(const Host& host) const;
    // Whether the host's latest load report is younger than `load_report_lifetime`.
    [[nodiscard]] bool has_fresh_report(const Host& host) const;

    // ---- records of attempts and reports ----

    // Records that an attempt of `units` is sent.
    void record_sent(Host& host, double units);
    // Records that an attempt has ended, whatever its outcome. `elapsed`: since it was sent.
    void record_ended(Host& host, Micros elapsed);
    // Updates response times, limits and the overload state by an attempt's outcome. `objective_s`: latency
    // objective of the request's class in seconds.
    void record_outcome(Host& host, const AttemptEnded& ended, double objective_s);
    // Records a host's load report, dated to the current time.
    void record_report(Host& host, const LoadReport& report);

    // Write the snapshot's values to the codec or read them from it.
    void serialize_responses(auto& codec) {
        codec(response_s_, slow_response_ratio_, overloaded_, mean_units_);
    }
    void serialize_limit(auto& codec) { codec(common_limit_, attempt_seconds_); }

  private:
    // Lower bounds of the adaptive concurrency limits, in attempts of all gateways at one host.
    static constexpr double min_common_limit = 0.2;
    static constexpr double min_host_limit = 2;

    // Number of requests of all gateways at the host, estimated from this gateway's attempts.
    [[nodiscard]] double estimated_outstanding(const Host& host) const;
    // The most attempts that this gateway may have in flight at all hosts together.
    [[nodiscard]] double window() const;
    [[nodiscard]] double recent_outcomes(const Host& host) const;
    void record_response(Host& host, double elapsed_s);

    Context& context_;
    const HostRegistry& hosts_;
    double response_s_ = 0;  // mean response time over all hosts, in seconds
    double slow_response_ratio_ = 0;
    bool overloaded_ = false;
    double mean_units_ = 1;                 // mean units of a request
    double common_limit_ = min_host_limit;  // adaptive concurrency limit of one host, learned from all hosts
    DecayingCounter attempt_seconds_;       // seconds for which ended attempts were in flight
    int in_flight_ = 0;                     // this gateway's attempts at all hosts
};

}  // namespace gateway::decision

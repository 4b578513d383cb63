// How loaded the hosts are: response times, adaptive concurrency limits, and whether the fleet is overloaded.
#pragma once

#include "context.h"
#include "decaying_counter.h"
#include "host.h"
#include "host_registry.h"

namespace gateway::decision {

class LoadEstimator {
  public:
    LoadEstimator(Context& context, const HostRegistry& hosts) : context_(context), hosts_(hosts) {}

    // ---- the fleet ----

    // Whether a quarter of the answers have been slow, until it is a fifth.
    [[nodiscard]] bool overloaded() const noexcept { return overloaded_; }
    // Whether there is capacity for more than the quotas.
    [[nodiscard]] bool has_spare_capacity() const noexcept;
    // Mean response time in seconds; 0: no answer seen yet.
    [[nodiscard]] double response_s() const noexcept { return response_s_; }
    // Response time to expect for a request of so many units: half of it for waiting, half for work, which
    // grows with the units.
    [[nodiscard]] double expected_response_s(double units) const;
    // Whether answers come fast for that objective. Rejections and timeouts among fast answers are due to one
    // kind of request, not to load.
    [[nodiscard]] bool responds_fast(double objective_s) const noexcept;
    // Whether one more attempt fits this gateway's share of what the fleet takes; a share below one is a
    // chance. Guards against hundreds of gateways that each see a host without a queue; harms where the
    // others stand idle.
    [[nodiscard]] bool window_open();

    // ---- one host ----

    // Whether this gateway sees enough of the host's answers to do without a health check.
    [[nodiscard]] bool is_known(const Host& host) const;
    // Requests at the host: by its own report while that is fresh, with what went there since; else
    // estimated.
    [[nodiscard]] double outstanding(const Host& host) const;
    // The most attempts of all gateways at the host: its own limit as far as its answers are known, else the
    // fleet's.
    [[nodiscard]] double limit(const Host& host) const;
    // Mean response time of the host in seconds, blended with the fleet's as far as its answers are known.
    [[nodiscard]] double blended_response_s(const Host& host) const;
    // The host's own mean response time in seconds; the fleet's, where none is seen.
    [[nodiscard]] double typical_response_s(const Host& host) const;
    // Whether the host has reported its load lately.
    [[nodiscard]] bool has_fresh_report(const Host& host) const;

    // ---- what happens ----

    // An attempt of so many units is sent.
    void record_sent(Host& host, double units);
    // An attempt has ended, whatever its outcome.
    void record_ended(Host& host, Micros elapsed);
    // What the outcome tells of the load. `objective_s`: latency objective of the request's class in seconds.
    void record_outcome(Host& host, const AttemptEnded& ended, double objective_s);
    void record_report(Host& host, const LoadReport& report);

    // The snapshot's parts, in the codec's direction.
    void serialize_responses(auto& codec) {
        codec(response_s_, slow_response_ratio_, overloaded_, mean_units_);
    }
    void serialize_limit(auto& codec) { codec(limit_, work_); }

  private:
    static constexpr double min_fleet_limit = 0.2;
    static constexpr double min_host_limit = 2;

    [[nodiscard]] double estimated_outstanding(const Host& host) const;
    [[nodiscard]] double window() const;
    [[nodiscard]] double answers_seen(const Host& host) const;
    void record_response(Host& host, double elapsed_s);

    Context& context_;
    const HostRegistry& hosts_;
    double response_s_ = 0;
    double slow_response_ratio_ = 0;
    bool overloaded_ = false;
    double mean_units_ = 1;          // of a request
    double limit_ = min_host_limit;  // adaptive concurrency limit of one host, over the fleet
    DecayingCounter work_;           // seconds that attempts were in flight
    int in_flight_ = 0;              // own attempts
};

}  // namespace gateway::decision

#include "load_estimator.h"

#include <algorithm>
#include <cmath>

#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// A response that takes longer than this share of the latency objective counts as slow in the ratio that
// detects overload.
constexpr double overload_response_share = 0.5;
// Weight of one response in the ratio of slow responses.
constexpr double slow_ratio_weight = 0.04;
// Ratios of slow responses. The hosts count as overloaded above the first, as recovered at or below the
// second, and as having spare capacity below the third.
constexpr double overloaded_above = 0.25;
constexpr double recovered_below = 0.20;
constexpr double spare_capacity_below = 0.08;
// Weight of one response in the mean response times, and of one request in the mean units.
constexpr double response_weight = 0.05;
// A host's mean response time starts as a weighted sum of the mean over all hosts and of its first response.
constexpr double first_response_mean_weight = 0.8;
constexpr double first_response_host_weight = 0.2;
// Limit on the adaptive concurrency limits, in attempts of all gateways at one host.
constexpr double max_limit = 128;
// Number of recent outcomes at which a host's own figures weigh as much as those of all hosts. With more
// outcomes, the host's own figures outweigh those of all hosts.
constexpr double trusted_outcomes = 10;
// A fast success near the limit raises the limit by this number of attempts divided by the limit.
constexpr double limit_growth = 1;
// A slow response, or a failure due to overload, multiplies the limit by this factor.
constexpr double limit_reduction_factor = 0.9;
// In attempts. A host's limit is raised only if its estimated load is within this margin of the limit: a
// limit that is not used up is not raised.
constexpr double limit_use_margin = 2;
// The estimate of another gateway's attempts at a host is a weighted mean of the number of this gateway's
// attempts in flight at the host and of its mean number at one host. Both weigh the same where that mean is
// this number of attempts. Where the mean is higher, the attempts in flight at the host outweigh it.
constexpr double mean_weight_attempts = 2;
// Number of recent outcomes from which a host gets requests without a health check.
constexpr double known_outcomes = 10;
// Standard deviations by which the window exceeds a gateway's even share. The excesses of all gateways even
// out in sum.
constexpr double window_deviations = 2;
constexpr double min_response_s = 1e-3;
constexpr double min_units = 1e-3;
// A host that reports fewer queued requests counts as idle.
constexpr double idle_queue_below = 0.5;
}  // namespace

bool LoadEstimator::has_spare_capacity() const noexcept {
    return !overloaded_ && slow_response_ratio_ < spare_capacity_below;
}

double LoadEstimator::expected_response_s(double units) const {
    return response_s_ * (1 + units / std::max(mean_units_, min_units)) / 2;
}

bool LoadEstimator::responds_fast(double objective_s) const noexcept {
    return response_s_ <= slow_response_share * objective_s;
}

bool LoadEstimator::window_open() { return in_flight_ + context_.uniform() < window(); }

double LoadEstimator::window() const {
    const double even_share =
        common_limit_ * static_cast<double>(hosts_.size()) / context_.settings().instances;
    return even_share + window_deviations * std::sqrt(even_share);
}

double LoadEstimator::recent_outcomes(const Host& host) const {
    return host.load.recent_outcomes.value(context_.now(), response_memory_s);
}

bool LoadEstimator::is_known(const Host& host) const {
    return !context_.settings().may_check_health || recent_outcomes(host) >= known_outcomes;
}

// Adds up this gateway's attempts at the host and an estimate for each other gateway. That estimate is the
// mean number of this gateway's attempts at one host, shifted towards the number in flight at this host. The
// same rule holds for two gateways and for hundreds.
double LoadEstimator::estimated_outstanding(const Host& host) const {
    const double own_attempts = host.load.in_flight;
    const double host_count = static_cast<double>(std::max<std::size_t>(1, hosts_.size()));
    const double mean_outstanding =
        attempt_seconds_.value(context_.now(), sent_memory_s) / (sent_memory_s * host_count);  // Little's law
    const double other_gateways = context_.settings().instances - 1;
    return own_attempts + other_gateways * mean_outstanding * (own_attempts + mean_weight_attempts) /
                              (mean_outstanding + mean_weight_attempts);
}

double LoadEstimator::outstanding(const Host& host) const {
    const double age = to_seconds(context_.since(host.load.reported_at)) / to_seconds(load_report_lifetime);
    if (host.load.reported_outstanding < 0 || age >= 1) return estimated_outstanding(host);
    return (1 - age) * host.load.reported_outstanding + age * estimated_outstanding(host);
}

double LoadEstimator::limit(const Host& host) const {
    const double outcomes = recent_outcomes(host);
    const double own_weight = outcomes / (outcomes + trusted_outcomes);
    return own_weight * host.load.limit + (1 - own_weight) * common_limit_;
}

double LoadEstimator::blended_response_s(const Host& host) const {
    const double outcomes = recent_outcomes(host);
    const double common_response_s = std::max(response_s_, min_response_s);
    return (outcomes * host.load.response_s + trusted_outcomes * common_response_s) /
           (outcomes + trusted_outcomes);
}

double LoadEstimator::typical_response_s(const Host& host) const {
    return std::max(host.load.response_s > 0 ? host.load.response_s : response_s_, min_response_s);
}

bool LoadEstimator::has_fresh_report(const Host& host) const {
    return host.load.reported_at > 0us && context_.since(host.load.reported_at) < load_report_lifetime;
}

void LoadEstimator::record_sent(Host& host, double units) {
    if (host.load.reported_outstanding >= 0) ++host.load.reported_outstanding;
    ++host.load.in_flight;
    ++in_flight_;
    mean_units_ += response_weight * (units - mean_units_);
}

void LoadEstimator::record_ended(Host& host, Micros elapsed) {
    if (host.load.in_flight > 0) {
        --host.load.in_flight;
        --in_flight_;
    }
    attempt_seconds_.add(to_seconds(elapsed), context_.now(), sent_memory_s);
}

void LoadEstimator::record_response(Host& host, double elapsed_s) {
    double& mean_s = host.load.response_s;
    if (mean_s > 0) mean_s += response_weight * (elapsed_s - mean_s);
    else if (response_s_ > 0)
        mean_s = first_response_mean_weight * response_s_ + first_response_host_weight * elapsed_s;
    else mean_s = elapsed_s;
    if (response_s_ > 0) response_s_ += response_weight * (elapsed_s - response_s_);
    else response_s_ = elapsed_s;
}

void LoadEstimator::record_outcome(Host& host, const AttemptEnded& ended, double objective_s) {
    const bool success = ended.outcome == Outcome::success;
    const double elapsed_s = to_seconds(ended.elapsed);
    if (success) record_response(host, elapsed_s);
    const bool over_slow_share = elapsed_s > slow_response_share * objective_s;
    const bool rejected = ended.outcome == Outcome::rejected;
    const bool slow_timeout = ended.outcome == Outcome::timeout && over_slow_share;
    const bool overload = !responds_fast(objective_s) && (rejected || slow_timeout);
    host.load.recent_outcomes.add(1, context_.now(), response_memory_s);

    const bool reduces_limit = overload || (success && over_slow_share);
    const auto adapt = [&](double& limit, double minimum, bool in_use) {
        if (reduces_limit) limit = std::max(minimum, limit * limit_reduction_factor);
        else if (success && in_use)
            limit = std::min(max_limit, limit + std::min(limit_growth / limit, limit / 4));
    };
    adapt(host.load.limit, min_host_limit, estimated_outstanding(host) + limit_use_margin > limit(host));
    adapt(common_limit_, min_common_limit, 2 * (in_flight_ + 1) > window());

    if (!success && !overload) return;
    const bool slow = rejected || elapsed_s > overload_response_share * objective_s;
    slow_response_ratio_ += slow_ratio_weight * ((slow ? 1 : 0) - slow_response_ratio_);
    overloaded_ = slow_response_ratio_ > (overloaded_ ? recovered_below : overloaded_above);
}

void LoadEstimator::record_report(Host& host, const LoadReport& report) {
    // Where hosts report their load on health checks, a report that cannot be read says nothing about the
    // load. In particular, the host must not count as idle.
    const bool unreadable = report.queued < 0 && report.outstanding < 0;
    if (context_.settings().reports == LoadReports::on_probe && unreadable) return;
    LoadState& load = host.load;
    load.reported_at = context_.now();
    load.reports_outstanding = report.outstanding >= 0;
    // A missing queue length, below 0, counts as idle too. Where hosts report no load, the first host that
    // answers its health check therefore gets the request.
    load.idle = report.queued < idle_queue_below;
    if (report.outstanding >= 0) load.reported_outstanding = report.outstanding;
    else if (report.queued >= 0) load.reported_outstanding = report.queued + estimated_outstanding(host);
    else load.reported_outstanding = -1;
}

}  // namespace gateway::decision

#include "load_estimator.h"

#include <algorithm>
#include <cmath>

#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr double slow_share_of_objective = 0.5;  // an answer beyond it counts as slow
constexpr double slow_weight = 0.04;             // weight of one answer in the ratio of slow ones
constexpr double overloaded_above = 0.25;        // ratio of slow responses
constexpr double recovered_below = 0.20;
constexpr double spare_capacity_below = 0.08;
constexpr double response_weight = 0.05;             // weight of one answer in mean response times
constexpr double first_response_fleet_weight = 0.8;  // of the fleet's mean in a host's first response time
constexpr double first_response_own_weight = 0.2;    // of the response itself
constexpr double max_limit = 128;                    // attempts at one host, by all gateways
constexpr double trusted_answers = 10;               // by which a host's own figures outweigh the fleet's
constexpr double limit_growth = 1;                   // over the limit, for a good answer near it
constexpr double limit_cut = 0.9;                    // factor, for a slow or failed answer
constexpr double near_limit = 2;                     // attempts: a limit that is not used up is not raised
constexpr double own_view_attempts = 2;  // in flight, by which the own view of a host outweighs the mean
constexpr double known_answers = 10;     // answers in the memory that spare a health check
constexpr double window_slack = 2;       // standard deviations that pass; they even out in sum
constexpr double min_response_s = 1e-3;
constexpr double min_units = 1e-3;
constexpr double idle_below = 0.5;  // queued requests
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
    const double even = limit_ * static_cast<double>(hosts_.size()) / context_.settings().instances;
    return even + window_slack * std::sqrt(even);
}

double LoadEstimator::answers_seen(const Host& host) const {
    return host.load.answers.value(context_.now(), response_memory_s);
}

bool LoadEstimator::is_known(const Host& host) const {
    return !context_.settings().may_check_health || answers_seen(host) >= known_answers;
}

// Own attempts, and for each other gateway the mean of own attempts, moved to what is in flight here as far
// as own attempts can tell. One rule from two gateways to hundreds.
double LoadEstimator::estimated_outstanding(const Host& host) const {
    const double own = host.load.in_flight;
    const double hosts = static_cast<double>(std::max<std::size_t>(1, hosts_.size()));
    const double mean = work_.value(context_.now(), sent_memory_s) / (sent_memory_s * hosts);  // Little's law
    const double others = context_.settings().instances - 1;
    return own + others * mean * (own + own_view_attempts) / (mean + own_view_attempts);
}

double LoadEstimator::outstanding(const Host& host) const {
    const double age = to_seconds(context_.since(host.load.reported_at)) / to_seconds(load_report_lifetime);
    if (host.load.reported < 0 || age >= 1) return estimated_outstanding(host);
    return (1 - age) * host.load.reported + age * estimated_outstanding(host);
}

double LoadEstimator::limit(const Host& host) const {
    const double answers = answers_seen(host);
    const double trust = answers / (answers + trusted_answers);
    return trust * host.load.limit + (1 - trust) * limit_;
}

double LoadEstimator::blended_response_s(const Host& host) const {
    const double answers = answers_seen(host);
    const double fleet = std::max(response_s_, min_response_s);
    return (answers * host.load.response_s + trusted_answers * fleet) / (answers + trusted_answers);
}

double LoadEstimator::typical_response_s(const Host& host) const {
    return std::max(host.load.response_s > 0 ? host.load.response_s : response_s_, min_response_s);
}

bool LoadEstimator::has_fresh_report(const Host& host) const {
    return host.load.reported_at > 0us && context_.since(host.load.reported_at) < load_report_lifetime;
}

void LoadEstimator::record_sent(Host& host, double units) {
    if (host.load.reported >= 0) ++host.load.reported;
    ++host.load.in_flight;
    ++in_flight_;
    mean_units_ += response_weight * (units - mean_units_);
}

void LoadEstimator::record_ended(Host& host, Micros elapsed) {
    if (host.load.in_flight > 0) {
        --host.load.in_flight;
        --in_flight_;
    }
    work_.add(to_seconds(elapsed), context_.now(), sent_memory_s);
}

void LoadEstimator::record_response(Host& host, double elapsed_s) {
    double& own = host.load.response_s;
    if (own > 0) own += response_weight * (elapsed_s - own);
    else if (response_s_ > 0)
        own = first_response_fleet_weight * response_s_ + first_response_own_weight * elapsed_s;
    else own = elapsed_s;
    if (response_s_ > 0) response_s_ += response_weight * (elapsed_s - response_s_);
    else response_s_ = elapsed_s;
}

void LoadEstimator::record_outcome(Host& host, const AttemptEnded& ended, double objective_s) {
    const bool success = ended.outcome == Outcome::success;
    const double elapsed_s = to_seconds(ended.elapsed);
    if (success) record_response(host, elapsed_s);
    const bool over_slow_share = elapsed_s > slow_response_share * objective_s;
    const bool turned_down = ended.outcome == Outcome::rejected;
    const bool timed_out_late = ended.outcome == Outcome::timeout && over_slow_share;
    const bool overload = !responds_fast(objective_s) && (turned_down || timed_out_late);
    host.load.answers.add(1, context_.now(), response_memory_s);

    const bool cut = overload || (success && over_slow_share);
    const auto adapt = [&](double& limit, double least, bool in_use) {
        if (cut) limit = std::max(least, limit * limit_cut);
        else if (success && in_use)
            limit = std::min(max_limit, limit + std::min(limit_growth / limit, limit / 4));
    };
    adapt(host.load.limit, min_host_limit, estimated_outstanding(host) + near_limit > limit(host));
    adapt(limit_, min_fleet_limit, 2 * (in_flight_ + 1) > window());

    if (!success && !overload) return;
    const bool slow = turned_down || elapsed_s > slow_share_of_objective * objective_s;
    slow_response_ratio_ += slow_weight * ((slow ? 1 : 0) - slow_response_ratio_);
    overloaded_ = slow_response_ratio_ > (overloaded_ ? recovered_below : overloaded_above);
}

void LoadEstimator::record_report(Host& host, const LoadReport& report) {
    // Where hosts report on health checks, a report that cannot be read says nothing, least of all idleness.
    const bool unreadable = report.queued < 0 && report.outstanding < 0;
    if (context_.settings().reports == LoadReports::on_probe && unreadable) return;
    LoadState& load = host.load;
    load.reported_at = context_.now();
    load.reports_outstanding = report.outstanding >= 0;
    // Also where hosts report nothing: the first to answer is taken.
    load.idle = report.queued < idle_below;
    if (report.outstanding >= 0) load.reported = report.outstanding;
    else if (report.queued >= 0) load.reported = report.queued + estimated_outstanding(host);
    else load.reported = -1;
}

}  // namespace gateway::decision

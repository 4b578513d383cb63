#include "outlier_detector.h"

#include <algorithm>

#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr int failures_to_eject = 3;  // in a row
constexpr Micros first_ejection = 500ms;
constexpr Micros longest_ejection = 8s;
constexpr int max_doublings = 4;  // each further ejection lasts twice as long
constexpr Micros penalty_time = 20s;
constexpr double penalty_cost_factor = 16;
constexpr double silent_responses = 3.5;  // expected responses missing that prove silence (e^-3.5 = 3%)
constexpr double earliest_check = 0.25;   // of the latency objective
constexpr double latest_check = 0.55;
}  // namespace

bool OutlierDetector::is_ejected(const Host& host) const {
    return context_.now() < host.outlier.ejected_until;
}

double OutlierDetector::cost_factor(const Host& host, int traffic_class) const {
    const auto penalty = host.outlier.penalties.find(traffic_class);
    const bool penalized = penalty != host.outlier.penalties.end() && context_.now() < penalty->second;
    return penalized ? penalty_cost_factor : 1;
}

void OutlierDetector::record_response(Host& host) { host.outlier.last_response_at = context_.now(); }

void OutlierDetector::record_outcome(Host& host, const AttemptEnded& ended) {
    switch (ended.outcome) {
        case Outcome::success:
            host.outlier.failures = 0;
            host.outlier.ejections = 0;
            break;
        case Outcome::timeout:
            // Only of a host that was silent all along. Guards against clients of little patience and costly
            // requests ejecting good hosts.
            if (host.outlier.last_response_at + ended.elapsed < context_.now()) record_failures(host, 1);
            break;
        case Outcome::error:
        case Outcome::reset:
            // One broken connection tells of that connection only: it may end under a request. A dead host
            // breaks all that it holds, which adds up at once, and takes no new one. Guards against single
            // resets ejecting every host; harms a request or two that find out.
            record_failures(host, 1);
            break;
        case Outcome::connect_failed:
            record_failures(host, failures_to_eject);
            break;
        case Outcome::rejected:
        case Outcome::cancelled:
        case Outcome::not_sent:
            break;
    }
}

void OutlierDetector::record_failures(Host& host, int count) {
    OutlierState& state = host.outlier;
    state.failures += count;
    if (state.failures < failures_to_eject || is_ejected(host)) return;
    const int doublings = std::min(state.ejections, max_doublings);
    state.ejected_until = context_.now() + std::min(longest_ejection, first_ejection * (1 << doublings));
    ++state.ejections;
}

void OutlierDetector::penalize(Host& host, int traffic_class) {
    host.outlier.penalties[traffic_class] = context_.now() + penalty_time;
}

void OutlierDetector::record_failed_health_check(Host& host) {
    host.outlier.ejected_until = std::max(host.outlier.ejected_until, context_.now() + load_report_lifetime);
}

Micros OutlierDetector::silence_check_delay(double objective_s) const {
    return to_micros(std::clamp(silent_responses * load_.response_s(), earliest_check * objective_s,
                                latest_check * objective_s));
}

bool OutlierDetector::eject_if_silent(Host& host, Micros sent_at, double objective_s) {
    const double silent_s = to_seconds(context_.since(std::max(host.outlier.last_response_at, sent_at)));
    const double missing = host.load.in_flight * silent_s / load_.typical_response_s(host);
    if (missing < silent_responses || silent_s < earliest_check * objective_s) return false;
    record_failures(host, failures_to_eject);
    return true;
}

}  // namespace gateway::decision

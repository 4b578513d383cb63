#include "outlier_detector.h"

#include <algorithm>

#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// Consecutive failures that eject a host.
constexpr int failures_to_eject = 3;
// The first ejection lasts this long, and each further one before a success twice as long as the one before,
// up to the longest ejection.
constexpr Micros first_ejection = 500ms;
constexpr Micros longest_ejection = 8s;
constexpr int max_doublings = 4;
// A penalty lasts this long and multiplies the host's cost for one traffic class by this factor.
constexpr Micros penalty_time = 20s;
constexpr double penalty_cost_factor = 16;
// A host counts as silent when this many expected responses are missing. A responsive host falls silent for
// so long by chance with a probability of 3% (e^-3.5).
constexpr double missing_responses_to_eject = 3.5;
// Bounds of the delay before a silence check, as shares of the latency objective. A host that has been silent
// for less than the lower bound is not ejected.
constexpr double min_check_share = 0.25;
constexpr double max_check_share = 0.55;
}  // namespace

bool OutlierDetector::is_ejected(const Host& host) const {
    return context_.now() < host.outlier.ejected_until;
}

double OutlierDetector::cost_factor(const Host& host, int traffic_class) const {
    const auto penalty = host.outlier.penalties.find(traffic_class);
    const bool penalized = penalty != host.outlier.penalties.end() && context_.now() < penalty->second;
    return penalized ? penalty_cost_factor : 1;
}

void OutlierDetector::record_response(Host& host) { host.outlier.silent_since = context_.now(); }

void OutlierDetector::record_outcome(Host& host, const AttemptEnded& ended) {
    switch (ended.outcome) {
        case Outcome::success:
            host.outlier.failures = 0;
            host.outlier.ejections = 0;
            break;
        case Outcome::timeout:
            // A timeout counts as a failure only if the host was silent throughout the attempt. This keeps
            // clients with short timeouts and costly requests from ejecting healthy hosts.
            if (host.outlier.silent_since + ended.elapsed < context_.now()) record_failures(host, 1);
            break;
        case Outcome::error:
        case Outcome::reset:
            // One broken connection is no evidence that the host is down: a connection may end while a
            // request is in flight. A host that is down breaks all of its connections, so that failures add
            // up at once, and accepts no new one. This keeps single resets from ejecting every host. The cost
            // is one or two further failed requests before a host that is down is ejected.
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
    return to_micros(std::clamp(missing_responses_to_eject * load_.response_s(),
                                min_check_share * objective_s, max_check_share * objective_s));
}

bool OutlierDetector::eject_if_silent(Host& host, Micros sent_at, double objective_s) {
    const double silent_s = to_seconds(context_.since(std::max(host.outlier.silent_since, sent_at)));
    const double missing_responses = host.load.in_flight * silent_s / load_.typical_response_s(host);
    if (missing_responses < missing_responses_to_eject || silent_s < min_check_share * objective_s)
        return false;
    record_failures(host, failures_to_eject);
    return true;
}

}  // namespace gateway::decision

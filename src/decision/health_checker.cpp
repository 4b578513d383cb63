#include "health_checker.h"

#include <algorithm>
#include <utility>

namespace gateway::decision {
namespace {
// Number of health checks that all gateways together add to their budgets when each of them receives one
// request.
constexpr double fleet_checks_per_request = 12;
}  // namespace

void HealthChecker::credit_request() {
    budget_ = std::min(max_saved_checks, budget_ + fleet_checks_per_request / context_.settings().instances);
}

bool HealthChecker::take_checks(std::size_t checks) {
    if (budget_ < static_cast<double>(checks)) return false;
    budget_ -= static_cast<double>(checks);
    return true;
}

void HealthChecker::await_check(Host& host, RequestId id) {
    host.awaiting_health_check.push_back(id);
    if (host.awaiting_health_check.size() == 1) context_.emit(CheckHealth{host.entry.host});
}

std::vector<RequestId> HealthChecker::end_check(Host& host) {
    return std::exchange(host.awaiting_health_check, {});
}

}  // namespace gateway::decision

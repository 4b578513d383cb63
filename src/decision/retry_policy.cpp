#include "retry_policy.h"

#include "tuning.h"

namespace gateway::decision {
namespace {
// Retries that each recent first attempt adds to the budget.
constexpr double retries_per_request = 0.15;
// Retries in the budget without any recent first attempt.
constexpr double min_retries = 5;
}  // namespace

void RetryPolicy::record_first_attempt() { first_attempts_.add(1, context_.now(), response_memory_s); }

bool RetryPolicy::take_retry() {
    const Micros now = context_.now();
    const double budget = first_attempts_.value(now, response_memory_s) * retries_per_request + min_retries;
    if (retries_.value(now, response_memory_s) + 1 > budget) return false;
    retries_.add(1, now, response_memory_s);
    return true;
}

}  // namespace gateway::decision

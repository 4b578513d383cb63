#include "warm_up_limiter.h"

#include <algorithm>

namespace gateway::decision {
namespace {
// Ratio of SmoothWarmingUp's coldInterval to its stableInterval, as the design sets it.
constexpr double cold_factor = 3;

// The most permits that the limiter stores.
double max_permits(double stable_interval_s, double warm_up_s) {
    const double threshold = 0.5 * warm_up_s / stable_interval_s;
    return threshold + 2 * warm_up_s / (stable_interval_s + cold_factor * stable_interval_s);
}
}  // namespace

void WarmUpLimiter::refill(Micros now, double stable_interval_s, double warm_up_s) {
    const double capacity = max_permits(stable_interval_s, warm_up_s);
    if (stored_ < 0) {
        stored_ = capacity;
        next_free_ = now;
    }
    if (now <= next_free_) return;
    stored_ = std::min(capacity, stored_ + to_seconds(now - next_free_) * capacity / warm_up_s);
    next_free_ = now;
}

void WarmUpLimiter::reserve(double permits, double stable_interval_s, double warm_up_s) {
    const double threshold = 0.5 * warm_up_s / stable_interval_s;
    const double slope =
        (cold_factor - 1) * stable_interval_s / (max_permits(stable_interval_s, warm_up_s) - threshold);
    const double spent = std::min(permits, stored_);
    const double above_threshold = std::max(0.0, stored_ - threshold);
    const double spent_above = std::min(above_threshold, spent);
    const double above_threshold_s =
        spent_above * (2 * stable_interval_s + slope * (2 * above_threshold - spent_above)) / 2;
    next_free_ += to_micros(above_threshold_s + stable_interval_s * (spent - spent_above) +
                            stable_interval_s * (permits - spent));
    stored_ -= spent;
}

}  // namespace gateway::decision

// Paces one customer's requests while the hosts are overloaded: Guava's SmoothWarmingUp rate limiter.
#pragma once

#include "time_units.h"

namespace gateway::decision {

// Starts full of stored permits, hence slow. A request that is let through delays the next one.
class WarmUpLimiter {
  public:
    // Brings the stored permits up to `now`. `stable_interval_s`: seconds between units at the full rate;
    // `warm_up_s`: seconds from cold to the full rate.
    void refill(Micros now, double stable_interval_s, double warm_up_s);
    // The time at which the next request may go; valid after `refill`.
    [[nodiscard]] Micros next_free() const noexcept { return next_free_; }
    // Takes so many permits for the request that goes at `next_free`.
    void reserve(double permits, double stable_interval_s, double warm_up_s);

    void serialize(auto& codec) { codec(stored_, next_free_); }

  private:
    static constexpr double not_started = -1;  // permits stored before the first refill: then it is full

    double stored_ = not_started;
    Micros next_free_{0};
};

}  // namespace gateway::decision

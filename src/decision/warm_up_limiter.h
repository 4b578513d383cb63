// Limits the rate of one customer's requests while the hosts are overloaded, by the algorithm of Guava's
// SmoothWarmingUp rate limiter.
#pragma once

#include "time_units.h"

namespace gateway::decision {

// The limiter starts with the most stored permits, and so at its lowest rate. A released request does not
// wait for its own permits; they delay the next request.
class WarmUpLimiter {
  public:
    // Adds the permits that have accrued until `now`. `stable_interval_s`: seconds between units at the full
    // rate; `warm_up_s`: seconds from cold to the full rate.
    void refill(Micros now, double stable_interval_s, double warm_up_s);
    // The time at which the next request may be released; valid after `refill`.
    [[nodiscard]] Micros next_free() const noexcept { return next_free_; }
    // Takes permits for the request that is released at `next_free`, and delays the next request accordingly.
    void reserve(double permits, double stable_interval_s, double warm_up_s);

    void serialize(auto& codec) { codec(stored_, next_free_); }

  private:
    // Marks the time before the first refill, which fills the limiter.
    static constexpr double not_started = -1;

    double stored_ = not_started;  // permits
    Micros next_free_{0};
};

}  // namespace gateway::decision

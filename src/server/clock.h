// The gateway's clock: monotonic, and anchored once to Unix time, so that hosts' boot times are comparable
// with it.
#pragma once

#include <chrono>

namespace gateway::server {

using Steady = std::chrono::steady_clock;
using Micros = std::chrono::microseconds;

// Counts microseconds from the Unix time of its construction. A host's boot time needs no conversion and
// stays the same each time it is reported.
class Clock {
  public:
    // Never goes back.
    [[nodiscard]] Micros now() const { return at(Steady::now()); }
    // The clock time at a time of the steady clock.
    [[nodiscard]] Micros at(Steady::time_point when) const {
        return anchor_ + std::chrono::duration_cast<Micros>(when - start_);
    }

  private:
    Steady::time_point start_ = Steady::now();
    Micros anchor_ = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace gateway::server

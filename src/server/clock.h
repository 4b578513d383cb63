// The gateway's clock: monotonic, and anchored once to Unix time, so that it can be compared with the boot
// times that hosts report.
#pragma once

#include <chrono>

namespace gateway::server {

using Steady = std::chrono::steady_clock;
using Micros = std::chrono::microseconds;

// Returns Unix time in microseconds, as it was at construction plus the monotonic time since then. A host's
// boot time therefore needs no conversion and stays the same each time it is reported.
class Clock {
  public:
    // Returns the current time, which never decreases.
    [[nodiscard]] Micros now() const { return at(Steady::now()); }
    // Converts a time of the steady clock to a time of this clock.
    [[nodiscard]] Micros at(Steady::time_point when) const {
        return anchor_ + std::chrono::duration_cast<Micros>(when - start_);
    }

  private:
    Steady::time_point start_ = Steady::now();
    Micros anchor_ = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace gateway::server

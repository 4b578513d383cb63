// The soak's clock and its units of time.
#pragma once

#include <chrono>

namespace fault_soak {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = std::chrono::milliseconds;
using namespace std::chrono_literals;

[[nodiscard]] inline double seconds(Clock::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

}  // namespace fault_soak

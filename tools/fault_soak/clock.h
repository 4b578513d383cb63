// The clock and time types of the soak.
#pragma once

#include <chrono>

namespace fault_soak {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = std::chrono::milliseconds;
using namespace std::chrono_literals;

// Converts a duration to seconds.
[[nodiscard]] inline double seconds(Clock::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

}  // namespace fault_soak

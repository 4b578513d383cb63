// Conversions between the clock's microseconds and seconds as floating-point numbers.
#pragma once

#include <algorithm>
#include <cstdint>

#include "gateway/interface.h"

namespace gateway::decision {

[[nodiscard]] inline double to_seconds(Micros time) { return static_cast<double>(time.count()) / 1e6; }

// Rounds down to whole microseconds and clamps to the range from 0 to 4000 s, so that the result is always a
// valid timer duration.
[[nodiscard]] inline Micros to_micros(double seconds) {
    constexpr double longest_s = 4e3;
    return Micros(static_cast<std::int64_t>(std::clamp(seconds, 0.0, longest_s) * 1e6));
}

}  // namespace gateway::decision

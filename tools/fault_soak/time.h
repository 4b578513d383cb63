// The soak's clock and its spans.
#pragma once

#include <chrono>

namespace fault_soak {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Span = std::chrono::milliseconds;
using namespace std::chrono_literals;

inline double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace fault_soak

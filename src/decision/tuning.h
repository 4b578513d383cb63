// Tuned constants that several decision modules share. What one module uses alone stands in that module.
#pragma once

#include "gateway/interface.h"

namespace gateway::decision {

inline constexpr double demand_memory_s = 2;     // over which a customer's recent demand is measured
inline constexpr double response_memory_s = 10;  // over which answers and attempts are counted
inline constexpr double sent_memory_s = 5;       // over which the units sent to hosts are measured
inline constexpr Micros sweep_period = std::chrono::seconds(5);  // between two clean-ups of idle state

// A host's own load report is believed so long, and a host with a failed health check is left alone so long.
inline constexpr Micros load_report_lifetime = std::chrono::milliseconds(250);

// A response time over this share of the latency objective lowers concurrency limits.
inline constexpr double slow_response_share = 0.25;

}  // namespace gateway::decision

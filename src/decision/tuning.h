// Constants that several decision modules share. A constant that only one module uses is defined in that
// module.
#pragma once

#include "gateway/interface.h"

namespace gateway::decision {

// Time constant in seconds of a customer's recent demand.
inline constexpr double demand_memory_s = 2;
// Time constant in seconds of the counters of answers and attempts.
inline constexpr double response_memory_s = 10;
// Time constant in seconds of the counters of units sent to hosts and of the work that hosts have done.
inline constexpr double sent_memory_s = 5;
// Interval between two removals of idle state. Also the time for which the lease holder's report of the
// fleet's demand is valid, and after which an overdue lease request is removed.
inline constexpr Micros sweep_period = std::chrono::seconds(5);

// Time for which a host's load report is valid, and for which a host with a failed health check is ejected.
inline constexpr Micros load_report_lifetime = std::chrono::milliseconds(250);

// Timers fire at multiples of the tick. A request with at most this number of ticks left cannot be answered
// in time.
inline constexpr int min_ticks_left = 2;

// Response times up to this share of the latency objective count as fast. Slower ones lower the concurrency
// limits of hosts.
inline constexpr double slow_response_share = 0.25;

}  // namespace gateway::decision

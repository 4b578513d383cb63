// The checks at the end of a run, and what the logs say about a request.
#pragma once

#include <string>

#include "testbed.h"

namespace fault_soak {

// Reads every gateway's metrics, ends its process and reports faults that it has counted itself, and
// processes that do not shut down gracefully.
Task shut_down_gateways(Testbed& testbed);

// Reports whatever a gateway has logged as an error, except for a configuration that could not be read.
void check_logs(Testbed& testbed);

// The lines of all gateways' logs that name a request, a line each.
[[nodiscard]] std::string log_lines_of(const Testbed& testbed, const std::string& trace);

}  // namespace fault_soak

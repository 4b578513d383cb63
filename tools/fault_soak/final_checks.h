// The checks at the end of a run, and a search of the gateway logs for a request.
#pragma once

#include <string>

#include "testbed.h"

namespace fault_soak {

// Reads the metrics of every gateway and shuts its process down. Reports gateways that have counted rule
// violations, and processes that do not shut down gracefully.
Task shut_down_gateways(Testbed& testbed);

// Reports every log line of level error, except for the event configuration_kept: a gateway logs this event
// when it cannot read its configuration, which faults cause on purpose.
void check_logs(Testbed& testbed);

// Returns the lines of all gateway logs that contain the trace id of a request. Each line starts with the
// name of the gateway.
[[nodiscard]] std::string log_lines_of(const Testbed& testbed, const std::string& trace);

}  // namespace fault_soak

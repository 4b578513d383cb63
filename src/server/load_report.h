// The parser for the load reports in hosts' responses to requests and health checks.
#pragma once

#include <string_view>

#include "gateway/interface.h"

namespace gateway::server {

// Parses a load report such as "TEXT outstanding=7, backlog=2, utilization=0.61". Skips unknown and malformed
// fields, which keep the value for "not reported", because a malformed report must not fail the response that
// carries it.
[[nodiscard]] decision::LoadReport read_load_report(std::string_view text);

}  // namespace gateway::server

// The load reports that hosts attach to their answers and health checks.
#pragma once

#include <string_view>

#include "gateway/interface.h"

namespace gateway::server {

// Parses "TEXT outstanding=7, backlog=2, utilization=0.61". Unknown or unreadable fields are skipped and stay
// "not reported", because a host's malformed report must not fail the answer that carries it.
[[nodiscard]] decision::LoadReport read_load_report(std::string_view text);

}  // namespace gateway::server

// What an upgrade leaves to the next process: which state, in which order and version.
#pragma once

#include <string>

#include "modules.h"

namespace gateway::decision {

[[nodiscard]] std::string save_snapshot(Modules& modules);
// Ignores a snapshot of another version. Of one that is cut short, what was read until then is in force.
// Requests that the former process had admitted and not forwarded count as in flight.
void restore_snapshot(Modules& modules, const std::string& bytes);

}  // namespace gateway::decision

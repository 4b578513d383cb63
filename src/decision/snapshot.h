// Saves and restores the state that an upgrade hands over to the next process.
#pragma once

#include <string>

#include "modules.h"

namespace gateway::decision {

// Returns the state of all modules in the byte format of snapshot_codec.h.
[[nodiscard]] std::string save_snapshot(Modules& modules);
// Restores the state from a snapshot. A snapshot of another version is ignored. Of a truncated snapshot, the
// values before its end are used. Requests that the former process had admitted and not forwarded count as in
// flight.
void restore_snapshot(Modules& modules, const std::string& bytes);

}  // namespace gateway::decision

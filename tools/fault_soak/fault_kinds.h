// The table of all fault kinds.
#pragma once

#include <span>
#include <string_view>

#include "fault.h"

namespace fault_soak {

// Returns all fault kinds. Plans draw kinds by index, so a change of the order changes the plan of every
// seed.
[[nodiscard]] std::span<const FaultKind> fault_kinds();
// Returns the fault kind with the given name, or null if there is none.
[[nodiscard]] const FaultKind* find_fault_kind(std::string_view name);

}  // namespace fault_soak

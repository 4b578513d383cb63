// The table of all kinds of faults.
#pragma once

#include <span>
#include <string_view>

#include "fault.h"

namespace fault_soak {

// Plans are drawn by index: the order of the table is part of what a seed means.
[[nodiscard]] std::span<const FaultKind> fault_kinds();
// Null where there is none of that name.
[[nodiscard]] const FaultKind* find_fault_kind(std::string_view name);

}  // namespace fault_soak

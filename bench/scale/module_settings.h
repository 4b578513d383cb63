// The settings under which the decision module is measured: two request classes, one plan, and peer messages
// enabled.
#pragma once

#include "gateway/interface.h"

namespace gateway::scale {

// Returns the settings of the gateway with the given rank in a fleet of `instances` gateways.
[[nodiscard]] decision::Settings module_settings(int rank, int instances);

// Returns the endpoint list entry of host `number`. Hosts are spread evenly over `zones` zones. `generation`
// is the number of times that the host has restarted; it is part of the host name.
[[nodiscard]] decision::HostEntry host_entry(int number, int zones, int generation = 0);

}  // namespace gateway::scale

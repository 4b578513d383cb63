// The settings under which the module is measured: two classes, one plan, messages between gateways.
#pragma once

#include "gateway/interface.h"

namespace gateway::scale {

// Of the gateway with that rank in a fleet of `instances` gateways.
[[nodiscard]] decision::Settings module_settings(int rank, int instances);

// Entry of the endpoint list for host `number` of those spread over `zones` zones; `generation` counts its
// restarts.
[[nodiscard]] decision::HostEntry host_entry(int number, int zones, int generation = 0);

}  // namespace gateway::scale

// The settings under which the module is measured: two classes, one plan, messages between gateways.
#pragma once

#include "gateway/interface.h"

namespace gateway::scale {

decision::Settings module_settings(int rank, int instances);
// Host `number` of a fleet spread over `zones` zones; `generation` counts its restarts.
decision::HostEntry host_entry(int number, int zones, int generation = 0);

}  // namespace gateway::scale

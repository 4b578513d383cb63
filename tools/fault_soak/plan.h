// Plans which faults a run injects and when. Plans are drawn from a seed, so that a run can be repeated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "fault.h"

namespace fault_soak {

// The parameters of a plan. Equal options result in equal plans.
struct PlanOptions {
    std::uint64_t seed = 1;
    int gateways = 12;
    int hosts = 10;
    // Length of the load.
    Duration length{20000};
    // Upper limit of the number of faults at the same time.
    int max_concurrent = 3;
};

// Returns the faults of a run in the order of their start. The last faults end some seconds before the load
// ends.
[[nodiscard]] std::vector<Fault> draw_plan(const PlanOptions& options);
// Returns the start, kind, duration, gateway and host of the fault as one line without a line break.
[[nodiscard]] std::string describe(const Fault& fault);

}  // namespace fault_soak

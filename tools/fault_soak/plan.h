// Which faults a run injects, and when: drawn from a seed, so that a run can be repeated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "fault.h"

namespace fault_soak {

// What a plan is drawn from. Equal options give the same plan.
struct PlanOptions {
    std::uint64_t seed = 1;
    int gateways = 12;
    int hosts = 10;
    Duration length{20000};  // of the load
    int max_concurrent = 3;  // faults at a time
};

// In order of their begin. The last faults end some seconds before the run does.
[[nodiscard]] std::vector<Fault> draw_plan(const PlanOptions& options);
// One line without its end: begin, kind, duration and place.
[[nodiscard]] std::string describe(const Fault& fault);

}  // namespace fault_soak

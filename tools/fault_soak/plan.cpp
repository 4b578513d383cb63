#include "plan.h"

#include <cstdio>

#include "fault_kinds.h"
#include "random.h"

namespace fault_soak {
namespace {

// Time from the start of the load to the first fault.
constexpr Duration first_fault_at = 1500ms;
// No fault begins within this time before the end of the load.
constexpr Duration final_interval_without_new_faults = 5000ms;
constexpr Duration shortest_fault = 300ms;
constexpr Duration longest_fault = 3000ms;
constexpr Duration longest_pause_between = 900ms;

Duration draw_duration(Random& random, Duration shortest, Duration longest) {
    const auto count = static_cast<std::uint64_t>((longest - shortest).count() + 1);
    return shortest + Duration(static_cast<std::int64_t>(random() % count));
}

int draw_index(Random& random, int count) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(count));
}

// A change of the order of the draws changes the plan of every seed.
Fault draw_fault(Random& random, const PlanOptions& options, Duration at) {
    Fault fault;
    fault.kind = &fault_kinds()[random() % fault_kinds().size()];
    fault.begin = at;
    fault.length = draw_duration(random, shortest_fault, longest_fault);
    fault.gateway = draw_index(random, options.gateways);
    fault.host = draw_index(random, options.hosts);
    fault.variation = random();
    return fault;
}

}  // namespace

std::vector<Fault> draw_plan(const PlanOptions& options) {
    Random random(options.seed);
    std::vector<Fault> plan;
    // End times of the faults that are active at `at`.
    std::vector<Duration> ends;
    for (Duration at = first_fault_at; at < options.length - final_interval_without_new_faults;
         at += draw_duration(random, 0ms, longest_pause_between)) {
        std::erase_if(ends, [at](Duration end) { return end <= at; });
        if (static_cast<int>(ends.size()) >= options.max_concurrent) continue;
        Fault fault = draw_fault(random, options, at);
        // About every second fault gets the gateway and host of the fault before it, so that faults interact.
        if (!plan.empty() && random() % 2 == 0) {
            fault.gateway = plan.back().gateway;
            fault.host = plan.back().host;
        }
        ends.push_back(at + fault.length);
        plan.push_back(fault);
    }
    return plan;
}

std::string describe(const Fault& fault) {
    char text[160];
    std::snprintf(text, sizeof text, "%7.3f s %-18s for %5.3f s gateway %d host %d", seconds(fault.begin),
                  fault.kind->name, seconds(fault.length), fault.gateway, fault.host);
    return text;
}

}  // namespace fault_soak

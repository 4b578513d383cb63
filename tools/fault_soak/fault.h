// Describes faults: what they change, their kinds, and the faults of a plan.
#pragma once

#include <cstdint>

#include "clock.h"
#include "net.h"

namespace fault_soak {

class FaultInjector;
struct Fault;

// What a fault changes. Two faults never change the same gateway or host at the same time, because each would
// undo the other's state.
enum class FaultTarget {
    // The processes, the configuration or the operators' state of one gateway.
    gateway,
    // One host.
    host,
    // Links, discovery, system calls or clients. Faults of this target may overlap.
    other,
};

// A kind of fault that plans can draw.
struct FaultKind {
    // The name in printed plans and on the command line.
    const char* name;
    FaultTarget target;
    // Injects the fault. The coroutine completes when the fault is over.
    Task (*inject)(FaultInjector& injector, const Fault& fault);
};

// One fault of a plan.
struct Fault {
    // An element of fault_kinds().
    const FaultKind* kind = nullptr;
    // Time from the start of the load to the start of the fault.
    Duration begin{0};
    Duration length{0};
    int gateway = 0;
    int host = 0;
    // A random number from which the kind derives its further parameters.
    std::uint64_t variation = 0;
};

}  // namespace fault_soak

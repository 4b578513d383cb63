// A fault and its kind.
#pragma once

#include <cstdint>

#include "clock.h"
#include "net.h"

namespace fault_soak {

class FaultInjector;
struct Fault;

// What a fault changes. No two faults change the same gateway or host at a time: they would undo each other's
// state.
enum class FaultTarget {
    gateway,  // the processes, configuration or operators' state of one gateway
    host,     // one host
    other,    // links, discovery, system calls or clients: faults of these may overlap
};

struct FaultKind {
    // As in plans and on the command line.
    const char* name;
    FaultTarget target;
    // Injects the fault; completes when it is over.
    Task (*inject)(FaultInjector& injector, const Fault& fault);
};

struct Fault {
    const FaultKind* kind = nullptr;  // one of fault_kinds()
    Duration begin{0};                // from the begin of the load
    Duration length{0};
    int gateway = 0;
    int host = 0;
    std::uint64_t variation = 0;  // a random number for what else a kind draws
};

}  // namespace fault_soak

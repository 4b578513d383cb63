// The options of a run, as the command line gives them.
#pragma once

#include <filesystem>

#include "plan.h"

namespace fault_soak {

struct SoakOptions {
    PlanOptions plan;
    std::filesystem::path program;  // the gateway
    std::filesystem::path shim;     // preloaded into gateways; empty: none
    std::filesystem::path folder;   // for logs and configurations
    Duration slack{100};            // for the machine's own lateness, on every limit of time
    int clients_per_gateway = 4;
    const FaultKind* only = nullptr;  // every fault is of this kind; null: of any
    bool verbose = false;             // prints each fault as it begins
};

}  // namespace fault_soak

// The options of a run, which the command line sets.
#pragma once

#include <filesystem>

#include "plan.h"

namespace fault_soak {

struct SoakOptions {
    PlanOptions plan;
    // Path of the gateway program.
    std::filesystem::path program;
    // Shim library to preload into gateways. Empty for none.
    std::filesystem::path shim;
    // Folder for logs and configurations.
    std::filesystem::path folder;
    // Added to every time limit, because a busy machine can delay the soak itself.
    Duration slack{100};
    int clients_per_gateway = 4;
    // If not null, every fault of the plan gets this kind.
    const FaultKind* only_kind = nullptr;
    // Prints each fault when it begins.
    bool verbose = false;
};

}  // namespace fault_soak

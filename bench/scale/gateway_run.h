// A real gateway under a long list of hosts that changes: processor time and memory, read from the system.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gateway::scale {

struct GatewayRun {
    std::string program;  // the gateway's
    std::vector<int> hosts{1000, 20000, 150000};
    double changes_per_s = 2;
    double seconds = 20;  // measured, after `settle_seconds`
    double settle_seconds = 5;
};
// Throws std::runtime_error where the program can't be started or ends during the run.
void run(const GatewayRun& run);

}  // namespace gateway::scale

// Measures a real gateway under a long endpoint list that changes: processor time and memory, as the system
// counts them.
#pragma once

#include <string>
#include <vector>

namespace gateway::scale {

struct GatewayRun {
    std::string program;                          // the gateway
    std::vector<int> hosts{1000, 20000, 150000};  // listed; a run each
    double changes_per_s = 2;
    double seconds = 20;        // measured, after `settle_seconds`
    double settle_seconds = 5;  // in which the gateway takes in the complete list
};

// Prints a row for each size. Throws std::runtime_error where the program cannot be started or ends during a
// run.
void run(const GatewayRun& run);

}  // namespace gateway::scale

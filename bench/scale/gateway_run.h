// Measures the processor time and memory that a real gateway process uses while discovery sends it a long,
// changing endpoint list. The operating system provides the figures.
#pragma once

#include <string>
#include <vector>

namespace gateway::scale {

// The parameters of the measurement.
struct GatewayRun {
    // Path of the gateway program.
    std::string program;
    // Lengths of the endpoint list; each is measured in a run of its own.
    std::vector<int> hosts{1000, 20000, 150000};
    // Changed hosts that discovery sends per second.
    double changes_per_s = 2;
    // Length of the measurement, which begins after `settle_seconds`.
    double seconds = 20;
    // Time for the gateway to start and process the complete list.
    double settle_seconds = 5;
};

// Prints one row per list length. Throws std::runtime_error if the program cannot be started or ends during a
// run.
void run(const GatewayRun& run);

}  // namespace gateway::scale

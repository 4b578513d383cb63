// The sweeps of the scale run over the size of the fleet. Each prints a row for every point and the exponents
// fitted over them (report.h).
#pragma once

#include <cstdint>
#include <vector>

namespace gateway::scale {

// One instance of the decision module with endpoint lists of different length: what a changed host, a zone
// that is lost at once, the periodic clean-up and a request cost in processor time, and the list in memory.
struct HostSweep {
    std::vector<int> hosts{1000, 5000, 20000, 50000, 150000};  // a point each
    int changes = 200;                                         // single changes at each point
    int repeats = 3;
    std::uint64_t seed = 1;
};
void run(const HostSweep& sweep);

// Instances of the decision module in one process on a simulated clock, exchanging their real messages
// through a modelled network: delay, loss, and a limit on the messages that each takes in.
struct FleetSweep {
    std::vector<int> gateways{10, 50, 200, 600};  // a point each
    int tenants_per_gateway = 50;
    double requests_per_s = 50;  // at each gateway
    double seconds = 5;          // simulated and measured, after as long a warm-up
    double loss = 0.03;          // share of the messages that is lost
    int repeats = 1;
    std::uint64_t seed = 1;
};
void run(const FleetSweep& sweep);

}  // namespace gateway::scale

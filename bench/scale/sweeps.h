// The sweeps of the scale run over the size of the fleet. Each sweep prints one row per point and then the
// exponents fitted over the points (report.h).
#pragma once

#include <cstdint>
#include <vector>

namespace gateway::scale {

// Parameters of the sweep over the number of listed hosts. The sweep passes endpoint lists of different
// lengths to one instance of the decision module at a time. It measures the processor time for a single
// changed host, for the loss of a whole zone at once, for the periodic clean-up and for a request, and the
// memory that the list uses.
struct HostSweep {
    // Numbers of listed hosts; each is one point of the sweep.
    std::vector<int> hosts{1000, 5000, 20000, 50000, 150000};
    // Changes of a single host at each point.
    int changes = 200;
    int repeats = 3;
    std::uint64_t seed = 1;
};
void run(const HostSweep& sweep);

// Parameters of the sweep over the number of gateways. The sweep runs many instances of the decision module
// in one process on a simulated clock. The instances exchange their real peer messages through a model of the
// network with delay, loss and a rate limit on the messages that each instance receives.
struct FleetSweep {
    // Numbers of gateways; each is one point of the sweep.
    std::vector<int> gateways{10, 50, 200, 600};
    int tenants_per_gateway = 50;
    // Requests per second at each gateway.
    double requests_per_s = 50;
    // Simulated time of the measurement, in seconds. An unmeasured warm-up of the same length precedes it.
    double seconds = 5;
    // Share of the peer messages that is lost.
    double loss = 0.03;
    int repeats = 1;
    std::uint64_t seed = 1;
};
void run(const FleetSweep& sweep);

}  // namespace gateway::scale

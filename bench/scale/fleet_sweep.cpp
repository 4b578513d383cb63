// Implements the sweep over the number of gateways (sweeps.h).
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fleet.h"
#include "measure.h"
#include "report.h"
#include "sweeps.h"

namespace gateway::scale {
namespace {

// Size of the IPv4 and UDP headers of one datagram.
constexpr double datagram_header_bytes = 28;
constexpr double bytes_per_megabyte = 1e6;

// The costs measured at one point of the sweep. The vectors hold one value per repeat.
struct FleetCosts {
    // Processor time per gateway, in percent of one core.
    std::vector<double> core_percent;
    // Heap memory per gateway, in megabytes.
    std::vector<double> memory_mb;
    // Totals of the last repeat.
    FleetCounts counts;
};

FleetCosts measure(const FleetSweep& sweep, int gateways) {
    FleetCosts costs;
    for (int repeat = 0; repeat < sweep.repeats; ++repeat) {
        const std::size_t heap_before = heap_bytes();
        Fleet fleet(sweep, gateways, sweep.seed);
        fleet.run_for(sweep.seconds);
        fleet.counts = {};
        const double cpu_seconds = cpu_seconds_of([&] { fleet.run_for(sweep.seconds); });
        costs.core_percent.push_back(cpu_seconds / gateways / sweep.seconds * 100);
        costs.memory_mb.push_back(static_cast<double>(heap_bytes() - heap_before) / gateways /
                                  bytes_per_megabyte);
        costs.counts = fleet.counts;
    }
    return costs;
}

double bytes_per_second(const FleetCounts& counts, double gateway_seconds) {
    const double headers = datagram_header_bytes * static_cast<double>(counts.messages);
    return (static_cast<double>(counts.message_bytes) + headers) / gateway_seconds;
}

Row make_row(const FleetSweep& sweep, int gateways, const FleetCosts& costs) {
    const double gateway_seconds = gateways * sweep.seconds;
    const FleetCounts& counts = costs.counts;
    Row row;
    row.sweep = "fleet";
    row.sizes = {{"gateways", static_cast<double>(gateways)},
                 {"tenants_per_gateway", static_cast<double>(sweep.tenants_per_gateway)},
                 {"requests_per_s", sweep.requests_per_s}};
    row.single_run_values = {
        {"requests", static_cast<double>(counts.requests)},
        {"sent_share", static_cast<double>(counts.attempts_sent) / static_cast<double>(counts.requests)},
        {"messages_per_s", static_cast<double>(counts.messages) / gateway_seconds},
        {"bytes_per_s", bytes_per_second(counts, gateway_seconds)},
        {"intake_drops", static_cast<double>(counts.intake_drops)}};
    row.repeat_summaries = {{"core_percent", summarize(costs.core_percent)},
                            {"memory_mb", summarize(costs.memory_mb)}};
    return row;
}

}  // namespace

void run(const FleetSweep& sweep) {
    std::vector<Point> cpu_points;
    std::vector<Point> byte_points;
    std::vector<Point> memory_points;
    for (const int gateways : sweep.gateways) {
        const FleetCosts costs = measure(sweep, gateways);
        print(make_row(sweep, gateways, costs), sweep.seed);
        const auto size = static_cast<double>(gateways);
        cpu_points.push_back({size, summarize(costs.core_percent).median});
        byte_points.push_back({size, bytes_per_second(costs.counts, gateways * sweep.seconds)});
        memory_points.push_back({size, summarize(costs.memory_mb).median});
    }
    print_exponent("fleet", "core_percent", "gateways", cpu_points);
    print_exponent("fleet", "bytes_per_s", "gateways", byte_points);
    print_exponent("fleet", "memory_mb", "gateways", memory_points);
}

}  // namespace gateway::scale

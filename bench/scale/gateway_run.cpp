#include "gateway_run.h"

#include <chrono>
#include <cstdint>

#include "discovery_stub.h"
#include "gateway_process.h"
#include "report.h"

namespace gateway::scale {
namespace {

constexpr double bytes_per_megabyte = 1e6;

void run_for(boost::asio::io_context& io, double seconds) {
    io.run_for(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1e3)));
}

void measure(const GatewayRun& run, int hosts) {
    boost::asio::io_context io;
    DiscoveryStub discovery(io, hosts, run.changes_per_s);
    GatewayProcess gateway(run.program, discovery.port());
    run_for(io, run.settle_seconds);
    const double cpu_before = gateway.cpu_seconds();
    const double bytes_before = discovery.bytes_sent();
    const int changes_before = discovery.changes_sent();
    run_for(io, run.seconds);
    const double core_percent = (gateway.cpu_seconds() - cpu_before) / run.seconds * 100;
    const int changes = discovery.changes_sent() - changes_before;
    Row row;
    row.sweep = "gateway";
    row.sizes = {{"hosts", static_cast<double>(hosts)}, {"changes_per_s", run.changes_per_s}};
    row.single_run_values = {{"changes", static_cast<double>(changes)},
                             {"list_mb", bytes_before / bytes_per_megabyte},
                             {"bytes_per_s", (discovery.bytes_sent() - bytes_before) / run.seconds},
                             {"core_percent", core_percent},
                             {"memory_mb", gateway.memory_mb()},
                             {"most_memory_mb", gateway.peak_memory_mb()}};
    constexpr std::uint64_t no_seed = 0;
    print(row, no_seed);
}

}  // namespace

void run(const GatewayRun& run) {
    for (const int hosts : run.hosts) measure(run, hosts);
}

}  // namespace gateway::scale

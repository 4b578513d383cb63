// The scale run: what the gateway's parts cost as the fleet grows. JSON lines on standard output, a table on
// standard error; 0 where it ran through, else a plain error and no run.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "gateway_run.h"
#include "sweeps.h"

namespace scale = gateway::scale;

namespace {
constexpr int most_hosts = 200'000, most_gateways = 2'400, most_tenants = 100'000;
constexpr std::size_t mega = 1'000'000;
// What one listed host, gateway and tenant take at most, for the look at the memory ahead of a run.
constexpr std::size_t bytes_of_a_host = 2'000, bytes_of_a_gateway = 400'000, bytes_of_a_tenant = 2'000;

std::size_t largest(const std::vector<int>& sizes) {
    return static_cast<std::size_t>(*std::max_element(sizes.begin(), sizes.end()));
}
void require_memory(std::size_t needed, std::size_t allowed_mb) {
    if (needed <= allowed_mb * mega) return;
    throw CLI::ValidationError("--memory-mb", "the run needs up to " + std::to_string(needed / mega) +
                                                  " MB, more than the " + std::to_string(allowed_mb) +
                                                  " allowed");
}
}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what the gateway's decision module costs as the fleet grows.");
    app.require_subcommand(1);
    std::size_t memory_mb = 8000;
    app.add_option("--memory-mb", memory_mb, "most memory that a run may take")->check(CLI::Range(1, 12000));

    scale::HostSweep hosts;
    CLI::App* host_command = app.add_subcommand("hosts", "sweep over the hosts listed at one gateway");
    host_command->add_option("--hosts", hosts.hosts, "hosts listed, a point each")
        ->delimiter(',')
        ->check(CLI::Range(15, most_hosts));
    host_command->add_option("--changes", hosts.changes, "single changes at each point")
        ->check(CLI::Range(1, 100'000));
    host_command->add_option("--repeats", hosts.repeats, "plays of each point")->check(CLI::Range(1, 100));
    host_command->add_option("--seed", hosts.seed, "of the random numbers");

    scale::FleetSweep fleet;
    CLI::App* fleet_command = app.add_subcommand("fleet", "sweep over gateways that share tenants' quotas");
    fleet_command->add_option("--gateways", fleet.gateways, "gateways, a point each")
        ->delimiter(',')
        ->check(CLI::Range(2, most_gateways));
    fleet_command->add_option("--tenants", fleet.tenants_per_gateway, "tenants that a gateway serves")
        ->check(CLI::Range(4, most_tenants));
    fleet_command->add_option("--requests", fleet.requests_per_s, "requests a second at each gateway")
        ->check(CLI::Range(0.1, 2000.0));
    fleet_command->add_option("--seconds", fleet.seconds, "simulated time that is measured")
        ->check(CLI::Range(0.1, 600.0));
    fleet_command->add_option("--loss", fleet.loss, "share of the messages that is lost")
        ->check(CLI::Range(0.0, 1.0));
    fleet_command->add_option("--repeats", fleet.repeats, "plays of each point")->check(CLI::Range(1, 100));
    fleet_command->add_option("--seed", fleet.seed, "of the random numbers");

    scale::GatewayRun gateway;
    CLI::App* gateway_command = app.add_subcommand("gateway", "a real gateway under a list that changes");
    gateway_command->add_option("--program", gateway.program, "the gateway's program")
        ->required()
        ->check(CLI::ExistingFile);
    gateway_command->add_option("--hosts", gateway.hosts, "hosts listed, a run each")
        ->delimiter(',')
        ->check(CLI::Range(15, most_hosts));
    gateway_command->add_option("--changes", gateway.changes_per_s, "changed hosts a second")
        ->check(CLI::Range(0.1, 1000.0));
    gateway_command->add_option("--seconds", gateway.seconds, "time that is measured")
        ->check(CLI::Range(1.0, 600.0));

    try {
        app.parse(argc, argv);
        if (host_command->parsed()) {
            require_memory(largest(hosts.hosts) * bytes_of_a_host, memory_mb);
            scale::run(hosts);
        }
        if (fleet_command->parsed()) {
            const auto tenants = static_cast<std::size_t>(fleet.tenants_per_gateway);
            require_memory(largest(fleet.gateways) * (bytes_of_a_gateway + tenants * bytes_of_a_tenant),
                           memory_mb);
            scale::run(fleet);
        }
        if (gateway_command->parsed()) {
            require_memory(largest(gateway.hosts) * bytes_of_a_host, memory_mb);
            scale::run(gateway);
        }
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "scale_run: %s\n", error.what());
        return 1;
    }
    return 0;
}

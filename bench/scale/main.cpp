// scale_run: what the gateway's parts cost as the fleet grows. JSON lines on standard output, a table on
// standard error. Exit status: 0 after a complete run, otherwise an error on standard error.
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

constexpr int max_hosts = 200'000;
constexpr int max_gateways = 2'400;
constexpr int max_tenants = 100'000;
constexpr std::size_t bytes_per_megabyte = 1'000'000;
// Upper limits of what one listed host, gateway and tenant take, for the memory check ahead of a run.
constexpr std::size_t bytes_per_host = 2'000;
constexpr std::size_t bytes_per_gateway = 400'000;
constexpr std::size_t bytes_per_tenant = 2'000;

std::size_t largest(const std::vector<int>& sizes) {
    return static_cast<std::size_t>(*std::max_element(sizes.begin(), sizes.end()));
}

// Throws CLI::ValidationError where a run needs more bytes than the megabytes allowed.
void require_memory(std::size_t needed, std::size_t allowed_mb) {
    if (needed <= allowed_mb * bytes_per_megabyte) return;
    throw CLI::ValidationError("--memory-mb",
                               "the run needs up to " + std::to_string(needed / bytes_per_megabyte) +
                                   " MB, more than the " + std::to_string(allowed_mb) + " allowed");
}

CLI::App* add_host_command(CLI::App& app, scale::HostSweep& sweep) {
    CLI::App* const command = app.add_subcommand("hosts", "sweep over the hosts listed at one gateway");
    command->add_option("--hosts", sweep.hosts, "hosts listed, a point each")
        ->delimiter(',')
        ->check(CLI::Range(15, max_hosts));
    command->add_option("--changes", sweep.changes, "single changes at each point")
        ->check(CLI::Range(1, 100'000));
    command->add_option("--repeats", sweep.repeats, "plays of each point")->check(CLI::Range(1, 100));
    command->add_option("--seed", sweep.seed, "of the random numbers");
    return command;
}

CLI::App* add_fleet_command(CLI::App& app, scale::FleetSweep& sweep) {
    CLI::App* const command = app.add_subcommand("fleet", "sweep over gateways that share tenants' quotas");
    command->add_option("--gateways", sweep.gateways, "gateways, a point each")
        ->delimiter(',')
        ->check(CLI::Range(2, max_gateways));
    command->add_option("--tenants", sweep.tenants_per_gateway, "tenants that a gateway serves")
        ->check(CLI::Range(4, max_tenants));
    command->add_option("--requests", sweep.requests_per_s, "requests a second at each gateway")
        ->check(CLI::Range(0.1, 2000.0));
    command->add_option("--seconds", sweep.seconds, "simulated time that is measured")
        ->check(CLI::Range(0.1, 600.0));
    command->add_option("--loss", sweep.loss, "share of the messages that is lost")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--repeats", sweep.repeats, "plays of each point")->check(CLI::Range(1, 100));
    command->add_option("--seed", sweep.seed, "of the random numbers");
    return command;
}

CLI::App* add_gateway_command(CLI::App& app, scale::GatewayRun& run) {
    CLI::App* const command = app.add_subcommand("gateway", "a real gateway under a list that changes");
    command->add_option("--program", run.program, "the gateway's program")
        ->required()
        ->check(CLI::ExistingFile);
    command->add_option("--hosts", run.hosts, "hosts listed, a run each")
        ->delimiter(',')
        ->check(CLI::Range(15, max_hosts));
    command->add_option("--changes", run.changes_per_s, "changed hosts a second")
        ->check(CLI::Range(0.1, 1000.0));
    command->add_option("--seconds", run.seconds, "time that is measured")->check(CLI::Range(1.0, 600.0));
    return command;
}

std::size_t memory_of(const scale::FleetSweep& sweep) {
    const auto tenants = static_cast<std::size_t>(sweep.tenants_per_gateway);
    return largest(sweep.gateways) * (bytes_per_gateway + tenants * bytes_per_tenant);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what the gateway's decision module costs as the fleet grows.");
    app.require_subcommand(1);
    std::size_t memory_mb = 8000;
    app.add_option("--memory-mb", memory_mb, "most memory that a run may take")->check(CLI::Range(1, 12000));
    scale::HostSweep hosts;
    scale::FleetSweep fleet;
    scale::GatewayRun gateway;
    const CLI::App* const host_command = add_host_command(app, hosts);
    const CLI::App* const fleet_command = add_fleet_command(app, fleet);
    const CLI::App* const gateway_command = add_gateway_command(app, gateway);
    try {
        app.parse(argc, argv);
        if (host_command->parsed()) {
            require_memory(largest(hosts.hosts) * bytes_per_host, memory_mb);
            scale::run(hosts);
        }
        if (fleet_command->parsed()) {
            require_memory(memory_of(fleet), memory_mb);
            scale::run(fleet);
        }
        if (gateway_command->parsed()) {
            require_memory(largest(gateway.hosts) * bytes_per_host, memory_mb);
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

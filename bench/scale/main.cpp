// scale_run measures how the costs of the gateway's parts grow with the size of the fleet. It prints JSON
// lines on standard output and a table on standard error. The exit status is 0 after a complete run;
// otherwise an error message is printed on standard error.
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
// Upper limits of the memory used per listed host, per gateway and per tenant, for the memory check before a
// run.
constexpr std::size_t bytes_per_host = 2'000;
constexpr std::size_t bytes_per_gateway = 400'000;
constexpr std::size_t bytes_per_tenant = 2'000;

std::size_t largest_size(const std::vector<int>& sizes) {
    return static_cast<std::size_t>(*std::max_element(sizes.begin(), sizes.end()));
}

// Throws CLI::ValidationError if the run needs more than `allowed_mb` megabytes. `needed` is in bytes.
void require_memory(std::size_t needed, std::size_t allowed_mb) {
    if (needed <= allowed_mb * bytes_per_megabyte) return;
    throw CLI::ValidationError("--memory-mb",
                               "the run needs up to " + std::to_string(needed / bytes_per_megabyte) +
                                   " MB, more than the " + std::to_string(allowed_mb) + " allowed");
}

CLI::App* add_host_command(CLI::App& app, scale::HostSweep& sweep) {
    CLI::App* const command =
        app.add_subcommand("hosts", "sweep over the number of hosts in the endpoint list of one gateway");
    command->add_option("--hosts", sweep.hosts, "numbers of listed hosts, one point each")
        ->delimiter(',')
        ->check(CLI::Range(15, max_hosts));
    command->add_option("--changes", sweep.changes, "single-host changes at each point")
        ->check(CLI::Range(1, 100'000));
    command->add_option("--repeats", sweep.repeats, "repetitions of each point")->check(CLI::Range(1, 100));
    command->add_option("--seed", sweep.seed, "seed of the random number generator");
    return command;
}

CLI::App* add_fleet_command(CLI::App& app, scale::FleetSweep& sweep) {
    CLI::App* const command = app.add_subcommand("fleet", "sweep over gateways that share tenants' quotas");
    command->add_option("--gateways", sweep.gateways, "numbers of gateways, one point each")
        ->delimiter(',')
        ->check(CLI::Range(2, max_gateways));
    command->add_option("--tenants", sweep.tenants_per_gateway, "tenants per gateway")
        ->check(CLI::Range(4, max_tenants));
    command->add_option("--requests", sweep.requests_per_s, "requests per second at each gateway")
        ->check(CLI::Range(0.1, 2000.0));
    command->add_option("--seconds", sweep.seconds, "simulated time measured at each point, in seconds")
        ->check(CLI::Range(0.1, 600.0));
    command->add_option("--loss", sweep.loss, "share of the peer messages that is lost, from 0 to 1")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--repeats", sweep.repeats, "repetitions of each point")->check(CLI::Range(1, 100));
    command->add_option("--seed", sweep.seed, "seed of the random number generator");
    return command;
}

CLI::App* add_gateway_command(CLI::App& app, scale::GatewayRun& run) {
    CLI::App* const command =
        app.add_subcommand("gateway", "measures a real gateway process under a changing endpoint list");
    command->add_option("--program", run.program, "path of the gateway program")
        ->required()
        ->check(CLI::ExistingFile);
    command->add_option("--hosts", run.hosts, "numbers of listed hosts, one run each")
        ->delimiter(',')
        ->check(CLI::Range(15, max_hosts));
    command->add_option("--changes", run.changes_per_s, "changed hosts per second")
        ->check(CLI::Range(0.1, 1000.0));
    command->add_option("--seconds", run.seconds, "length of the measurement, in seconds")
        ->check(CLI::Range(1.0, 600.0));
    return command;
}

std::size_t needed_bytes(const scale::FleetSweep& sweep) {
    const auto tenants = static_cast<std::size_t>(sweep.tenants_per_gateway);
    return largest_size(sweep.gateways) * (bytes_per_gateway + tenants * bytes_per_tenant);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what the gateway's decision module costs as the fleet grows.");
    app.require_subcommand(1);
    std::size_t memory_mb = 8000;
    app.add_option("--memory-mb", memory_mb, "upper limit of the memory that a run may use, in megabytes")
        ->check(CLI::Range(1, 12000));
    scale::HostSweep hosts;
    scale::FleetSweep fleet;
    scale::GatewayRun gateway;
    const CLI::App* const host_command = add_host_command(app, hosts);
    const CLI::App* const fleet_command = add_fleet_command(app, fleet);
    const CLI::App* const gateway_command = add_gateway_command(app, gateway);
    try {
        app.parse(argc, argv);
        if (host_command->parsed()) {
            require_memory(largest_size(hosts.hosts) * bytes_per_host, memory_mb);
            scale::run(hosts);
        }
        if (fleet_command->parsed()) {
            require_memory(needed_bytes(fleet), memory_mb);
            scale::run(fleet);
        }
        if (gateway_command->parsed()) {
            require_memory(largest_size(gateway.hosts) * bytes_per_host, memory_mb);
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

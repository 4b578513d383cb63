// fault_soak injects faults, which are drawn from a seed, into real gateways on loopback and checks the
// invariants that the gateways must keep. See README, "Fault soak". The exit status is 0 if all invariants
// were kept, 1 after a violation and 2 if a run was not possible.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "fault_kinds.h"
#include "soak.h"
#include "text.h"

namespace {

using namespace fault_soak;

constexpr int exit_violation = 1;
constexpr int exit_failure = 2;
// Upper limit of the violations printed for each seed.
constexpr std::size_t max_violations_printed = 10;

// The values of the command line options.
struct Settings {
    SoakOptions options;
    int seeds = 1;
    int seconds = 20;
    int slack_ms = 100;
    std::string program = API_GATEWAY_PROGRAM;
    std::string shim = FAULT_SHIM;
    std::string only;
    std::string folder;
    bool keep_logs = false;
};

void add_options(CLI::App& app, Settings& settings) {
    PlanOptions& plan = settings.options.plan;
    app.add_option("--seed", plan.seed, "the first seed")->capture_default_str();
    app.add_option("--seeds", settings.seeds, "number of consecutive seeds to run")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "length of the load for each seed, in seconds")
        ->check(CLI::Range(8, 3600))
        ->capture_default_str();
    app.add_option("--gateways", plan.gateways, "processes")->check(CLI::Range(1, 40))->capture_default_str();
    app.add_option("--hosts", plan.hosts, "stubs")->check(CLI::Range(2, 40))->capture_default_str();
    app.add_option("--clients", settings.options.clients_per_gateway, "clients per gateway")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--at-once", plan.max_concurrent, "upper limit of concurrent faults")
        ->check(CLI::Range(0, 20))
        ->capture_default_str();
    app.add_option("--slack-ms", settings.slack_ms,
                   "extension of every time limit for a busy machine, in milliseconds")
        ->capture_default_str();
    app.add_option("--only", settings.only, "inject only faults of this kind");
    app.add_option("--program", settings.program, "path of the gateway program")->check(CLI::ExistingFile);
    app.add_option("--folder", settings.folder,
                   "folder for logs and configurations (default: a new one under the temporary folder)");
    app.add_flag(
        "--no-shim", [&settings](std::int64_t) { settings.shim.clear(); },
        "run gateways without the preloaded shim library");
    app.add_flag("--keep", settings.keep_logs, "keep the logs of seeds without a violation");
    app.add_flag("--verbose", settings.options.verbose, "print each fault when it begins");
}

// Converts the command line values to SoakOptions and creates the folder if none is given. Prints an error
// and returns false if a value is invalid or the folder cannot be created.
bool complete_options(Settings& settings) {
    settings.options.program = settings.program;
    settings.options.shim = settings.shim;
    settings.options.slack = Duration(settings.slack_ms);
    settings.options.plan.length = Duration(settings.seconds * 1000);
    if (!settings.only.empty()) settings.options.only_kind = find_fault_kind(settings.only);
    if (!settings.only.empty() && settings.options.only_kind == nullptr) {
        std::fprintf(stderr, "fault_soak: --only: expected the name of a fault kind, got '%s'\n",
                     settings.only.c_str());
        return false;
    }
    if (!settings.folder.empty()) return true;
    settings.folder = (std::filesystem::temp_directory_path() / "fault-soak-XXXXXX").string();
    if (::mkdtemp(settings.folder.data()) == nullptr) {
        std::perror("fault_soak: cannot create a temporary folder");
        return false;
    }
    return true;
}

unsigned long long printable(std::uint64_t number) { return number; }

void print_counts(const Soak& soak, std::uint64_t seed) {
    const RequestCounts& counts = soak.oracle().counts();
    std::printf(
        "seed %llu: %llu requests, %llu served, %llu refused, %llu failed, %llu left, %llu excused, "
        "%llu attempts; loop late by %lld ms at most; %zu violations\n",
        printable(seed), printable(counts.requests), printable(counts.succeeded), printable(counts.rejected),
        printable(counts.failed), printable(counts.disconnected), printable(counts.excused),
        printable(counts.attempts), static_cast<long long>(soak.worst_lateness().count()),
        soak.oracle().violations().size());
}

void print_violations_by_invariant(const std::vector<Violation>& violations) {
    std::map<std::string, int> counts;
    for (const Violation& violation : violations) ++counts[name_of(violation.invariant)];
    for (const auto& [name, count] : counts) std::printf("  %s: %d\n", name.c_str(), count);
}

void print_violation(const Soak& soak, const Violation& violation) {
    std::printf("  VIOLATION %s at %.3f s: %s %s\n%s", name_of(violation.invariant),
                seconds(violation.at - soak.load_start()), violation.trace.c_str(), violation.text.c_str(),
                soak.trace_text(violation).c_str());
}

// Runs one seed and prints its results. Returns whether all invariants were kept. Throws std::runtime_error
// after a signal.
bool run_seed(const Settings& settings, std::uint64_t seed) {
    SoakOptions options = settings.options;
    options.plan.seed = seed;
    options.folder = std::filesystem::path(settings.folder) / concat("seed-", seed);
    std::filesystem::remove_all(options.folder);
    Soak soak(options);
    soak.run();
    if (soak.interrupted()) throw std::runtime_error("the run was interrupted by a signal");
    const auto& violations = soak.oracle().violations();
    print_counts(soak, seed);
    print_violations_by_invariant(violations);
    for (std::size_t i = 0; i < std::min(violations.size(), max_violations_printed); ++i)
        print_violation(soak, violations[i]);
    if (!violations.empty()) {
        std::printf("  plan of seed %llu:\n%s  logs: %s\n", printable(seed), soak.plan_text().c_str(),
                    options.folder.c_str());
    } else if (!settings.keep_logs) {
        std::filesystem::remove_all(options.folder);
    }
    std::fflush(stdout);
    return violations.empty();
}

}  // namespace

int main(int argc, char** argv) {
    Settings settings;
    CLI::App app(
        "Injects seeded faults into real gateways on loopback and checks the invariants that they must keep");
    add_options(app, settings);
    CLI11_PARSE(app, argc, argv);
    if (!complete_options(settings)) return exit_failure;
    int violated_seeds = 0;
    try {
        for (int i = 0; i < settings.seeds; ++i) {
            const std::uint64_t seed = settings.options.plan.seed + static_cast<std::uint64_t>(i);
            if (!run_seed(settings, seed)) ++violated_seeds;
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "fault_soak: %s\n", error.what());
        return exit_failure;
    }
    std::printf("%d of %d seeds kept all rules\n", settings.seeds - violated_seeds, settings.seeds);
    return violated_seeds == 0 ? 0 : exit_violation;
}

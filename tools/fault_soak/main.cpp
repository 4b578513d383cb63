// fault_soak: plays seeded faults against real gateways on loopback and checks the invariants that they have
// to keep. See README, "Fault soak". Exit status: 0 where all were kept, 1 after a violation, 2 where a run
// was not possible.
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
constexpr std::size_t max_violations_printed = 10;  // of one run

// The command line.
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
    app.add_option("--seeds", settings.seeds, "how many seeds, one after the other")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "of load for each seed")
        ->check(CLI::Range(8, 3600))
        ->capture_default_str();
    app.add_option("--gateways", plan.gateways, "processes")->check(CLI::Range(1, 40))->capture_default_str();
    app.add_option("--hosts", plan.hosts, "stubs")->check(CLI::Range(2, 40))->capture_default_str();
    app.add_option("--clients", settings.options.clients_per_gateway, "of each gateway")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--at-once", plan.max_concurrent, "faults at a time, at most")
        ->check(CLI::Range(0, 20))
        ->capture_default_str();
    app.add_option("--slack-ms", settings.slack_ms, "for a machine that is late, on every limit of time")
        ->capture_default_str();
    app.add_option("--only", settings.only, "every fault is of this kind");
    app.add_option("--program", settings.program, "the gateway")->check(CLI::ExistingFile);
    app.add_option("--folder", settings.folder,
                   "for logs and configurations (a new one under the temporary folder)");
    app.add_flag(
        "--no-shim", [&settings](std::int64_t) { settings.shim.clear(); }, "without the preloaded library");
    app.add_flag("--keep", settings.keep_logs, "keeps the logs of seeds without a violation");
    app.add_flag("--verbose", settings.options.verbose, "prints each fault as it begins");
}

// Fills in the options that the command line gives in other types. False where a value does not fit or there
// is no folder, which is printed.
bool complete_options(Settings& settings) {
    settings.options.program = settings.program;
    settings.options.shim = settings.shim;
    settings.options.slack = Duration(settings.slack_ms);
    settings.options.plan.length = Duration(settings.seconds * 1000);
    if (!settings.only.empty()) settings.options.only = find_fault_kind(settings.only);
    if (!settings.only.empty() && settings.options.only == nullptr) {
        std::fprintf(stderr, "fault_soak: --only: expected a kind of fault, got '%s'\n",
                     settings.only.c_str());
        return false;
    }
    if (!settings.folder.empty()) return true;
    settings.folder = (std::filesystem::temp_directory_path() / "fault-soak-XXXXXX").string();
    if (::mkdtemp(settings.folder.data()) == nullptr) {
        std::perror("fault_soak: no folder");
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
                seconds(violation.at - soak.origin()), violation.trace.c_str(), violation.text.c_str(),
                soak.trace_text(violation).c_str());
}

// Plays one seed and prints its results. True where all invariants were kept.
bool play_seed(const Settings& settings, std::uint64_t seed) {
    SoakOptions options = settings.options;
    options.plan.seed = seed;
    options.folder = std::filesystem::path(settings.folder) / concat("seed-", seed);
    std::filesystem::remove_all(options.folder);
    Soak soak(options);
    soak.run();
    if (soak.interrupted()) throw std::runtime_error("ended by a signal");
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
        "Plays seeded faults against real gateways on loopback, and checks the rules they have to keep");
    add_options(app, settings);
    CLI11_PARSE(app, argc, argv);
    if (!complete_options(settings)) return exit_failure;
    int broken = 0;
    try {
        for (int i = 0; i < settings.seeds; ++i) {
            const std::uint64_t seed = settings.options.plan.seed + static_cast<std::uint64_t>(i);
            if (!play_seed(settings, seed)) ++broken;
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "fault_soak: %s\n", error.what());
        return exit_failure;
    }
    std::printf("%d of %d seeds kept all rules\n", settings.seeds - broken, settings.seeds);
    return broken == 0 ? 0 : exit_violation;
}

// fault_soak: plays seeded faults against real gateways on loopback and checks the rules. See README, "Fault
// soak".
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <string>

#include "soak.h"
#include "text.h"

namespace {
using namespace fault_soak;

constexpr std::size_t most_told = 10;  // violations of one run that are printed whole

struct Settings {
    SoakOptions options;
    int seeds = 1, seconds = 20, slack_ms = 100;
    std::string only, folder;
    bool keep = false;
};

std::optional<TroubleKind> kind_named(const std::string& name) {
    for (int kind = 0; kind < trouble_kinds; ++kind)
        if (name == name_of(static_cast<TroubleKind>(kind))) return static_cast<TroubleKind>(kind);
    return std::nullopt;
}

void tell_by_rule(const std::vector<Violation>& violations) {
    std::map<std::string, int> counts;
    for (const Violation& violation : violations) ++counts[name_of(violation.rule)];
    for (const auto& [rule, count] : counts) std::printf("  %s: %d\n", rule.c_str(), count);
}

void tell(const Soak& soak, const Violation& violation) {
    std::printf("  VIOLATION %s at %.3f s: %s %s\n%s", name_of(violation.rule),
                seconds(violation.at - soak.origin()), violation.trace.c_str(), violation.text.c_str(),
                soak.trace_of(violation).c_str());
}

// True where all rules were kept.
bool play_seed(Settings settings, std::uint64_t seed) {
    settings.options.shape.seed = seed;
    settings.options.folder = std::filesystem::path(settings.folder) / concat("seed-", seed);
    std::filesystem::remove_all(settings.options.folder);
    Soak soak(settings.options);
    soak.run();
    if (soak.interrupted()) throw std::runtime_error("ended by a signal");
    const Figures& figures = soak.oracle().figures();
    const auto& violations = soak.oracle().violations();
    std::printf(
        "seed %llu: %llu requests, %llu served, %llu refused, %llu failed, %llu left, %llu excused, "
        "%llu attempts; loop late by %lld ms at most; %zu violations\n",
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(figures.requests),
        static_cast<unsigned long long>(figures.served), static_cast<unsigned long long>(figures.refused),
        static_cast<unsigned long long>(figures.failed), static_cast<unsigned long long>(figures.left),
        static_cast<unsigned long long>(figures.excused), static_cast<unsigned long long>(figures.attempts),
        static_cast<long long>(soak.worst_lateness().count()), violations.size());
    tell_by_rule(violations);
    for (std::size_t i = 0; i < std::min(violations.size(), most_told); ++i) tell(soak, violations[i]);
    if (!violations.empty()) {
        std::printf("  plan of seed %llu:\n%s  logs: %s\n", static_cast<unsigned long long>(seed),
                    soak.plan_text().c_str(), settings.options.folder.c_str());
    } else if (!settings.keep) {
        std::filesystem::remove_all(settings.options.folder);
    }
    std::fflush(stdout);
    return violations.empty();
}
}  // namespace

int main(int argc, char** argv) {
    Settings settings;
    PlanShape& shape = settings.options.shape;
    std::string program = API_GATEWAY_PROGRAM, shim = FAULT_SHIM;
    CLI::App app(
        "Plays seeded faults against real gateways on loopback, and checks the rules they have to keep");
    app.add_option("--seed", shape.seed, "the first seed")->capture_default_str();
    app.add_option("--seeds", settings.seeds, "how many seeds, one after the other")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "of load for each seed")
        ->check(CLI::Range(8, 3600))
        ->capture_default_str();
    app.add_option("--gateways", shape.gateways, "processes")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--hosts", shape.hosts, "stand-ins")->check(CLI::Range(2, 40))->capture_default_str();
    app.add_option("--clients", settings.options.clients, "of each gateway")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--at-once", shape.at_once, "troubles at a time, at most")
        ->check(CLI::Range(0, 20))
        ->capture_default_str();
    app.add_option("--slack-ms", settings.slack_ms, "for a machine that is late, on every limit of time")
        ->capture_default_str();
    app.add_option("--only", settings.only, "every trouble is of this kind");
    app.add_option("--program", program, "the gateway")->check(CLI::ExistingFile);
    app.add_option("--folder", settings.folder,
                   "for logs and configurations (a new one under the temporary folder)");
    app.add_flag(
        "--no-shim", [&](std::int64_t) { shim.clear(); }, "without the preloaded library");
    app.add_flag("--keep", settings.keep, "keeps the logs of seeds without a violation");
    app.add_flag("--verbose", settings.options.verbose, "tells each trouble as it begins");
    CLI11_PARSE(app, argc, argv);
    settings.options.program = program;
    settings.options.shim = shim;
    settings.options.slack = Span(settings.slack_ms);
    shape.length = Span(settings.seconds * 1000);
    if (!settings.only.empty() && !(settings.options.only = kind_named(settings.only))) {
        std::fprintf(stderr, "fault_soak: --only: expected a kind of trouble, got '%s'\n",
                     settings.only.c_str());
        return 2;
    }
    if (settings.folder.empty()) {
        std::string name = (std::filesystem::temp_directory_path() / "fault-soak-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) return std::perror("fault_soak: no folder"), 2;
        settings.folder = name;
    }
    int broken = 0;
    try {
        for (int i = 0; i < settings.seeds; ++i)
            broken += play_seed(settings, shape.seed + static_cast<std::uint64_t>(i)) ? 0 : 1;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "fault_soak: %s\n", error.what());
        return 2;
    }
    std::printf("%d of %d seeds kept all rules\n", settings.seeds - broken, settings.seeds);
    return broken == 0 ? 0 : 1;
}

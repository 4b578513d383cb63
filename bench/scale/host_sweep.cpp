// Implements the sweep over the number of listed hosts (sweeps.h).
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <variant>
#include <vector>

#include "measure.h"
#include "module_settings.h"
#include "report.h"
#include "sweeps.h"

namespace gateway::scale {

using namespace decision;
using namespace std::chrono_literals;

namespace {

constexpr int zones = 15;
constexpr int gateways = 2400;
constexpr Micros change_interval = 300ms;
// Simulated time between two clean-ups. The clean-up period of the decision module is not longer than this.
constexpr Micros clean_up_period = 5s;
constexpr int clean_ups = 4;
constexpr Micros client_timeout = 600ms;
constexpr Micros response_time = 20ms;
constexpr double bytes_per_megabyte = 1e6;
// Factors that convert seconds to the printed units.
constexpr double milliseconds_per_second = 1e3;
constexpr double microseconds_per_second = 1e6;

// The costs of one instance. All times are processor time in seconds.
struct HostCosts {
    // Mean time to handle the change of one host.
    double mean_change = 0;
    double slowest_change = 0;
    // Time to handle the loss of all hosts of a zone in one message.
    double zone_lost = 0;
    double slowest_clean_up = 0;
    // Mean time to handle a request and its answer.
    double mean_request = 0;
    double memory_mb = 0;
};

// One instance of the decision module with its simulated clock and the actions that the latest event caused.
class Instance {
  public:
    explicit Instance(std::uint64_t seed) : gateway_(module_settings(0, gateways), seed, now_) {}

    // Handles the event and returns the processor time used, in seconds.
    double handle(const Event& event) {
        actions_.clear();
        const double cpu_seconds = cpu_seconds_of([&] { gateway_.handle(now_, event, actions_); });
        for (const Action& action : actions_)
            if (const auto* timer = std::get_if<SetTimer>(&action)) latest_timer_ = timer->token;
        return cpu_seconds;
    }
    void advance(Micros time) { now_ += time; }
    [[nodiscard]] const std::vector<Action>& actions() const noexcept { return actions_; }
    // Returns the token of the timer that the module set last.
    [[nodiscard]] std::uint64_t latest_timer() const noexcept { return latest_timer_; }

  private:
    Micros now_ = 1h;
    Gateway gateway_;
    std::vector<Action> actions_;
    std::uint64_t latest_timer_ = 0;
};

HostsChanged complete_host_list(int hosts) {
    HostsChanged list;
    list.complete_list = true;
    for (int number = 0; number < hosts; ++number) list.entries.push_back(host_entry(number, zones));
    return list;
}

HostsChanged lost_zone(int hosts) {
    HostsChanged list;
    for (int number = 0; number < hosts; number += zones) {
        list.entries.push_back(host_entry(number, zones));
        list.entries.back().state = HostState::gone;
    }
    return list;
}

HostsChanged change_of(int host, HostState state) {
    HostsChanged list;
    list.entries.push_back(host_entry(host, zones));
    list.entries.back().state = state;
    return list;
}

// Passes a request to the instance. If the instance sends it to a host at once, reports the success of that
// attempt. Returns the processor time used, in seconds.
double serve_request(Instance& instance, RequestId id) {
    RequestArrived request;
    request.id = id;
    request.customer = "customer";
    request.plan = -1;
    request.time_left = client_timeout;
    double cpu_seconds = instance.handle(request);
    for (const Action& action : instance.actions()) {
        const auto* attempt = std::get_if<SendAttempt>(&action);
        if (attempt == nullptr) continue;
        AttemptEnded ended;
        ended.id = id;
        ended.host = attempt->host;
        ended.elapsed = response_time;
        ended.request_completed = true;
        cpu_seconds += instance.handle(ended);
        break;
    }
    return cpu_seconds;
}

// Returns the heap bytes by which the instance grows when it receives the complete list.
double load_complete_list(Instance& instance, int hosts) {
    const HostsChanged list = complete_host_list(hosts);
    const std::size_t heap_before = heap_bytes();
    instance.handle(list);
    return static_cast<double>(heap_bytes() - heap_before);
}

void measure_changes(Instance& instance, const HostSweep& sweep, int hosts, std::uint64_t seed,
                     HostCosts& costs) {
    std::mt19937_64 random(seed);
    RequestId next_request = 1;
    for (int change = 0; change < sweep.changes; ++change) {
        instance.advance(change_interval);
        const int host = static_cast<int>(random() % static_cast<unsigned>(hosts));
        const HostState state = change % 2 == 0 ? HostState::draining : HostState::up;
        const double cpu_seconds = instance.handle(change_of(host, state));
        costs.mean_change += cpu_seconds / sweep.changes;
        costs.slowest_change = std::max(costs.slowest_change, cpu_seconds);
        costs.mean_request += serve_request(instance, next_request) / sweep.changes;
        ++next_request;
    }
}

HostCosts measure(const HostSweep& sweep, int hosts, std::uint64_t seed) {
    HostCosts costs;
    const std::size_t heap_before = heap_bytes();
    Instance instance(seed);
    // The first event makes the module set its heartbeat timer, whose handler also runs the periodic
    // clean-up.
    instance.handle(HandedOver{false});
    const std::uint64_t clean_up_timer = instance.latest_timer();
    const double list_bytes = load_complete_list(instance, hosts);
    const double bytes = std::max(list_bytes, static_cast<double>(heap_bytes() - heap_before));
    costs.memory_mb = bytes / bytes_per_megabyte;
    measure_changes(instance, sweep, hosts, seed, costs);
    for (int round = 0; round < clean_ups; ++round) {
        instance.advance(clean_up_period);
        costs.slowest_clean_up =
            std::max(costs.slowest_clean_up, instance.handle(TimerFired{clean_up_timer}));
    }
    costs.zone_lost = instance.handle(lost_zone(hosts));
    return costs;
}

// Summarizes one cost over the repeats of a point. `factor` converts the cost to the printed unit.
Summary summarize_cost(const std::vector<HostCosts>& repeats, double HostCosts::*cost, double factor = 1) {
    std::vector<double> values;
    values.reserve(repeats.size());
    for (const HostCosts& costs : repeats) values.push_back(costs.*cost * factor);
    return summarize(values);
}

Row make_row(const HostSweep& sweep, int hosts, const std::vector<HostCosts>& repeats) {
    Row row;
    row.sweep = "hosts";
    row.sizes = {{"hosts", static_cast<double>(hosts)}};
    row.single_run_values = {{"changes", static_cast<double>(sweep.changes)}};
    row.repeat_summaries = {
        {"change_ms", summarize_cost(repeats, &HostCosts::mean_change, milliseconds_per_second)},
        {"slowest_change_ms", summarize_cost(repeats, &HostCosts::slowest_change, milliseconds_per_second)},
        {"clean_up_ms", summarize_cost(repeats, &HostCosts::slowest_clean_up, milliseconds_per_second)},
        {"zone_lost_ms", summarize_cost(repeats, &HostCosts::zone_lost, milliseconds_per_second)},
        {"request_us", summarize_cost(repeats, &HostCosts::mean_request, microseconds_per_second)},
        {"memory_mb", summarize_cost(repeats, &HostCosts::memory_mb)}};
    return row;
}

}  // namespace

void run(const HostSweep& sweep) {
    std::vector<Point> change_points;
    std::vector<Point> clean_up_points;
    std::vector<Point> memory_points;
    for (const int hosts : sweep.hosts) {
        std::vector<HostCosts> repeats;
        repeats.reserve(static_cast<std::size_t>(sweep.repeats));
        for (int repeat = 0; repeat < sweep.repeats; ++repeat)
            repeats.push_back(measure(sweep, hosts, sweep.seed + static_cast<std::uint64_t>(repeat)));
        print(make_row(sweep, hosts, repeats), sweep.seed);
        const auto size = static_cast<double>(hosts);
        change_points.push_back(
            {size, summarize_cost(repeats, &HostCosts::mean_change, milliseconds_per_second).median});
        clean_up_points.push_back(
            {size, summarize_cost(repeats, &HostCosts::slowest_clean_up, milliseconds_per_second).median});
        memory_points.push_back({size, summarize_cost(repeats, &HostCosts::memory_mb).median});
    }
    print_exponent("hosts", "change_ms", "hosts", change_points);
    print_exponent("hosts", "clean_up_ms", "hosts", clean_up_points);
    print_exponent("hosts", "memory_mb", "hosts", memory_points);
}

}  // namespace gateway::scale

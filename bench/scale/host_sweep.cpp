#include <algorithm>
#include <random>

#include "module_settings.h"
#include "report.h"
#include "sweeps.h"

namespace gateway::scale {
using namespace decision;
using namespace std::chrono_literals;

namespace {
constexpr int zones = 15;
constexpr int gateways = 2400;
constexpr Micros clean_up_period = 5s;  // the module's own is no longer

struct Costs {
    double change = 0, slowest_change = 0, zone_lost = 0, clean_up = 0, request = 0;  // seconds
    double bytes = 0;
};

// One instance, and the clock and the actions that its events need.
class Instance {
  public:
    explicit Instance(std::uint64_t seed) : gateway_(module_settings(0, gateways), seed, now_) {}

    double handle(const Event& event) {
        actions_.clear();
        const double spent = cpu_seconds_of([&] { gateway_.handle(now_, event, actions_); });
        for (const Action& action : actions_)
            if (const auto* timer = std::get_if<SetTimer>(&action)) latest_timer_ = timer->token;
        return spent;
    }
    void advance(Micros by) { now_ += by; }
    const std::vector<Action>& actions() const { return actions_; }
    std::uint64_t latest_timer() const { return latest_timer_; }

  private:
    Micros now_ = 1h;
    Gateway gateway_;
    std::vector<Action> actions_;
    std::uint64_t latest_timer_ = 0;
};

HostsChanged complete_list(int hosts) {
    HostsChanged list;
    list.complete_list = true;
    for (int number = 0; number < hosts; ++number) list.entries.push_back(host_entry(number, zones));
    return list;
}

HostsChanged zone_lost(int hosts) {
    HostsChanged list;
    for (int number = 0; number < hosts; number += zones) {
        list.entries.push_back(host_entry(number, zones));
        list.entries.back().state = HostState::gone;
    }
    return list;
}

// A request that is sent at once and answered well.
double serve_one(Instance& instance, RequestId id) {
    RequestArrived arrival;
    arrival.id = id;
    arrival.customer = "customer";
    arrival.plan = -1;
    arrival.time_left = 600ms;
    double spent = instance.handle(arrival);
    for (const Action& action : instance.actions()) {
        const auto* sent = std::get_if<SendAttempt>(&action);
        if (sent == nullptr) continue;
        AttemptEnded ended;
        ended.id = id;
        ended.host = sent->host;
        ended.elapsed = 20ms;
        ended.request_completed = true;
        spent += instance.handle(ended);
        break;
    }
    return spent;
}

Costs measure(const HostSweep& sweep, int hosts, std::uint64_t seed) {
    Costs costs;
    const std::size_t heap_before = heap_bytes();
    Instance instance(seed);
    const std::uint64_t heartbeat = (instance.handle(HandedOver{false}), instance.latest_timer());
    {
        const HostsChanged list = complete_list(hosts);
        const std::size_t list_bytes = heap_bytes();
        instance.handle(list);
        costs.bytes = static_cast<double>(heap_bytes() - list_bytes);
    }
    costs.bytes = std::max(costs.bytes, static_cast<double>(heap_bytes() - heap_before));

    std::mt19937_64 random(seed);
    RequestId next_request = 1;
    for (int change = 0; change < sweep.changes; ++change) {
        instance.advance(300ms);
        HostsChanged changed;
        changed.entries.push_back(
            host_entry(static_cast<int>(random() % static_cast<unsigned>(hosts)), zones));
        changed.entries.back().state = change % 2 == 0 ? HostState::draining : HostState::up;
        const double spent = instance.handle(changed);
        costs.change += spent / sweep.changes;
        costs.slowest_change = std::max(costs.slowest_change, spent);
        costs.request += serve_one(instance, next_request++) / sweep.changes;
    }
    for (int round = 0; round < 4; ++round) {
        instance.advance(clean_up_period);
        costs.clean_up = std::max(costs.clean_up, instance.handle(TimerFired{heartbeat}));
    }
    costs.zone_lost = instance.handle(zone_lost(hosts));
    return costs;
}

}  // namespace

void run(const HostSweep& sweep) {
    std::vector<Point> change_points, clean_up_points, bytes_points;
    for (const int hosts : sweep.hosts) {
        std::vector<double> change, slowest, clean_up, zone, request, bytes;
        for (int repeat = 0; repeat < sweep.repeats; ++repeat) {
            const Costs costs = measure(sweep, hosts, sweep.seed + static_cast<std::uint64_t>(repeat));
            change.push_back(costs.change * 1e3);
            slowest.push_back(costs.slowest_change * 1e3);
            clean_up.push_back(costs.clean_up * 1e3);
            zone.push_back(costs.zone_lost * 1e3);
            request.push_back(costs.request * 1e6);
            bytes.push_back(costs.bytes / 1e6);
        }
        print({"hosts",
               {{"hosts", hosts}},
               {{"changes", sweep.changes}},
               {{"change_ms", summarize(change)},
                {"slowest_change_ms", summarize(slowest)},
                {"clean_up_ms", summarize(clean_up)},
                {"zone_lost_ms", summarize(zone)},
                {"request_us", summarize(request)},
                {"memory_mb", summarize(bytes)}}},
              sweep.seed);
        change_points.push_back({static_cast<double>(hosts), summarize(change).median});
        clean_up_points.push_back({static_cast<double>(hosts), summarize(clean_up).median});
        bytes_points.push_back({static_cast<double>(hosts), summarize(bytes).median});
    }
    print_exponent("hosts", "change_ms", "hosts", change_points);
    print_exponent("hosts", "clean_up_ms", "hosts", clean_up_points);
    print_exponent("hosts", "memory_mb", "hosts", bytes_points);
}

}  // namespace gateway::scale

#include <algorithm>
#include <memory>
#include <queue>
#include <random>

#include "module_settings.h"
#include "report.h"
#include "sweeps.h"

namespace gateway::scale {
using namespace decision;
using namespace std::chrono_literals;

namespace {
constexpr int zones = 15, hosts_listed = 200;
constexpr int tenant_spread = 4;  // gateways through which a tenant's requests arrive
constexpr Micros message_delay_least = 2700us, message_delay_most = 21ms;
constexpr Micros answer_time = 30ms;
constexpr double datagram_header_bytes = 28;  // of IPv4 and UDP

struct Counts {
    std::uint64_t requests = 0, admitted = 0, refused = 0, messages = 0, bytes = 0, intake_drops = 0;
};

// A gateway without sockets: the decision module, and what it took in of the last second.
struct HollowGateway {
    HollowGateway(int rank, int instances, std::uint64_t seed, Micros now)
        : module(module_settings(rank, instances), seed, now) {}
    Gateway module;
    double intake_tokens = 0;
    Micros intake_at{0};
};

class Fleet {
  public:
    Fleet(const FleetSweep& sweep, int gateways, std::uint64_t seed) : sweep_(sweep), random_(seed) {
        HostsChanged list;
        list.complete_list = true;
        for (int host = 0; host < hosts_listed; ++host) list.entries.push_back(host_entry(host, zones));
        for (int rank = 0; rank < gateways; ++rank) {
            gateways_.push_back(std::make_unique<HollowGateway>(rank, gateways, random_(), now_));
            deliver(rank, list);
            schedule_arrival(rank);
        }
    }

    // Runs the fleet for so long on its own clock.
    void run_for(double seconds) {
        const Micros until = now_ + Micros(static_cast<std::int64_t>(seconds * 1e6));
        while (!queue_.empty() && queue_.top().at <= until) {
            const Due due = queue_.top();
            queue_.pop();
            now_ = due.at;
            if (due.arrival) arrive(due.gateway);
            else receive(due);
        }
        now_ = until;
    }

    Counts counts;

  private:
    struct Due {
        Micros at;
        std::uint64_t order;
        int gateway;
        bool arrival;
        std::shared_ptr<Event> event;
        bool operator<(const Due& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(Micros wait, int gateway, Event event) {
        queue_.push({now_ + wait, next_order_++, gateway, false, std::make_shared<Event>(std::move(event))});
    }
    void schedule_arrival(int gateway) {
        std::exponential_distribution<double> gap(sweep_.requests_per_s);
        const Micros wait(static_cast<std::int64_t>(gap(random_) * 1e6));
        queue_.push({now_ + wait, next_order_++, gateway, true, nullptr});
    }

    void arrive(int gateway) {
        schedule_arrival(gateway);
        const int instances = static_cast<int>(gateways_.size());
        const int spread = std::min(tenant_spread, instances);
        const int start = (gateway + instances - static_cast<int>(random_() % spread)) % instances;
        const auto of_a_set = static_cast<unsigned>(std::max(1, sweep_.tenants_per_gateway / spread));
        RequestArrived arrival;
        arrival.id = next_request_++;
        arrival.customer = std::to_string(start) + '/' + std::to_string(random_() % of_a_set);
        arrival.units = static_cast<double>(1 + random_() % 3);
        arrival.time_left = 600ms;
        arrival.set_size = spread;
        arrival.set_start = start;
        ++counts.requests;
        deliver(gateway, arrival);
    }

    void receive(const Due& due) {
        if (std::holds_alternative<MessageArrived>(*due.event) && !takes_in(*gateways_[due.gateway])) {
            ++counts.intake_drops;
            return;
        }
        deliver(due.gateway, *due.event);
    }
    // A gateway takes in so many messages a second, a second's worth at once.
    bool takes_in(HollowGateway& gateway) const {
        const double rate = module_settings(0, 1).messages_per_s;
        const double elapsed = static_cast<double>((now_ - gateway.intake_at).count()) / 1e6;
        gateway.intake_tokens = std::min(rate, gateway.intake_tokens + elapsed * rate);
        gateway.intake_at = now_;
        if (gateway.intake_tokens < 1) return false;
        gateway.intake_tokens -= 1;
        return true;
    }

    void deliver(int gateway, const Event& event) {
        std::vector<Action> actions;
        gateways_[gateway]->module.handle(now_, event, actions);
        for (const Action& action : actions) carry_out(gateway, action);
    }
    void carry_out(int gateway, const Action& action) {
        if (const auto* timer = std::get_if<SetTimer>(&action)) {
            schedule(timer->from_now, gateway, TimerFired{timer->token});
        } else if (const auto* message = std::get_if<SendMessage>(&action)) {
            send(gateway, *message);
        } else if (const auto* sent = std::get_if<SendAttempt>(&action)) {
            ++counts.admitted;
            AttemptEnded ended;
            ended.id = sent->id;
            ended.host = sent->host;
            ended.elapsed = answer_time;
            ended.request_completed = true;
            schedule(answer_time, gateway, ended);
        } else if (std::holds_alternative<RejectRequest>(action)) {
            ++counts.refused;
        }
    }
    void send(int from, const SendMessage& message) {
        ++counts.messages;
        counts.bytes += message.bytes.size();
        if (std::uniform_real_distribution<double>(0, 1)(random_) < sweep_.loss || message.to < 0) return;
        std::uniform_int_distribution<std::int64_t> delay(message_delay_least.count(),
                                                          message_delay_most.count());
        schedule(Micros(delay(random_)), message.to, MessageArrived{from, message.bytes});
    }

    FleetSweep sweep_;
    std::mt19937_64 random_;
    Micros now_ = 1h;
    std::vector<std::unique_ptr<HollowGateway>> gateways_;
    std::priority_queue<Due> queue_;
    std::uint64_t next_order_ = 0;
    RequestId next_request_ = 1;
};

}  // namespace

void run(const FleetSweep& sweep) {
    std::vector<Point> cpu_points, byte_points, memory_points;
    for (const int gateways : sweep.gateways) {
        std::vector<double> cpu, memory;
        Counts counts;
        for (int repeat = 0; repeat < sweep.repeats; ++repeat) {
            const std::size_t heap_before = heap_bytes();
            Fleet fleet(sweep, gateways, sweep.seed);
            fleet.run_for(sweep.seconds);
            fleet.counts = {};
            cpu.push_back(cpu_seconds_of([&] { fleet.run_for(sweep.seconds); }) / gateways / sweep.seconds);
            memory.push_back(static_cast<double>(heap_bytes() - heap_before) / gateways / 1e6);
            counts = fleet.counts;
        }
        const double gateway_seconds = gateways * sweep.seconds;
        const double bytes_per_s = (static_cast<double>(counts.bytes) +
                                    datagram_header_bytes * static_cast<double>(counts.messages)) /
                                   gateway_seconds;
        for (double& share : cpu) share *= 100;
        print({"fleet",
               {{"gateways", gateways},
                {"tenants_per_gateway", sweep.tenants_per_gateway},
                {"requests_per_s", sweep.requests_per_s}},
               {{"requests", static_cast<double>(counts.requests)},
                {"sent_share", static_cast<double>(counts.admitted) / static_cast<double>(counts.requests)},
                {"messages_per_s", static_cast<double>(counts.messages) / gateway_seconds},
                {"bytes_per_s", bytes_per_s},
                {"intake_drops", static_cast<double>(counts.intake_drops)}},
               {{"core_percent", summarize(cpu)}, {"memory_mb", summarize(memory)}}},
              sweep.seed);
        cpu_points.push_back({static_cast<double>(gateways), summarize(cpu).median});
        byte_points.push_back({static_cast<double>(gateways), bytes_per_s});
        memory_points.push_back({static_cast<double>(gateways), summarize(memory).median});
    }
    print_exponent("fleet", "core_percent", "gateways", cpu_points);
    print_exponent("fleet", "bytes_per_s", "gateways", byte_points);
    print_exponent("fleet", "memory_mb", "gateways", memory_points);
}

}  // namespace gateway::scale

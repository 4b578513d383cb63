#include "fleet.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "module_settings.h"

namespace gateway::scale {

using namespace decision;
using namespace std::chrono_literals;

namespace {

constexpr int zones = 15;
constexpr int listed_hosts = 200;
// Upper limit of the number of gateways that receive the requests of one tenant.
constexpr int max_gateways_per_tenant = 4;
constexpr Micros min_message_delay = 2700us;
constexpr Micros max_message_delay = 21ms;
constexpr Micros response_time = 30ms;
constexpr Micros client_timeout = 600ms;
constexpr int max_request_units = 3;
constexpr double micros_per_second = 1e6;

HostsChanged complete_host_list() {
    HostsChanged list;
    list.complete_list = true;
    for (int host = 0; host < listed_hosts; ++host) list.entries.push_back(host_entry(host, zones));
    return list;
}

}  // namespace

Fleet::SimulatedGateway::SimulatedGateway(int rank, int instances, std::uint64_t seed, Micros now)
    : module(module_settings(rank, instances), seed, now) {}

Fleet::Fleet(FleetSweep sweep, int gateways, std::uint64_t seed) : sweep_(std::move(sweep)), random_(seed) {
    const HostsChanged list = complete_host_list();
    for (int rank = 0; rank < gateways; ++rank) {
        gateways_.push_back(std::make_unique<SimulatedGateway>(rank, gateways, random_(), now_));
        deliver(rank, list);
        schedule_arrival(rank);
    }
}

void Fleet::run_for(double seconds) {
    const Micros until = now_ + Micros(static_cast<std::int64_t>(seconds * micros_per_second));
    while (!queue_.empty() && queue_.top().at <= until) {
        const QueueEntry next = queue_.top();
        queue_.pop();
        now_ = next.at;
        if (next.is_arrival) receive_request(next.gateway);
        else receive_event(next);
    }
    now_ = until;
}

void Fleet::schedule(Micros delay, int gateway, Event event) {
    queue_.push({now_ + delay, next_order_, gateway, false, std::make_shared<Event>(std::move(event))});
    ++next_order_;
}

void Fleet::schedule_arrival(int gateway) {
    std::exponential_distribution<double> interval_s(sweep_.requests_per_s);
    const Micros delay(static_cast<std::int64_t>(interval_s(random_) * micros_per_second));
    queue_.push({now_ + delay, next_order_, gateway, true, nullptr});
    ++next_order_;
}

void Fleet::receive_request(int gateway) {
    schedule_arrival(gateway);
    const RequestArrived request = draw_request(gateway);
    ++counts.requests;
    deliver(gateway, request);
}

RequestArrived Fleet::draw_request(int gateway) {
    const int instances = static_cast<int>(gateways_.size());
    const int set_size = std::min(max_gateways_per_tenant, instances);
    const int set_start = (gateway + instances - static_cast<int>(random_() % set_size)) % instances;
    const auto tenants_of_set = static_cast<unsigned>(std::max(1, sweep_.tenants_per_gateway / set_size));
    RequestArrived request;
    request.id = next_request_;
    ++next_request_;
    request.customer = std::to_string(set_start) + '/' + std::to_string(random_() % tenants_of_set);
    request.units = static_cast<double>(1 + random_() % max_request_units);
    request.time_left = client_timeout;
    request.set_size = set_size;
    request.set_start = set_start;
    return request;
}

void Fleet::receive_event(const QueueEntry& entry) {
    const bool is_message = std::holds_alternative<MessageArrived>(*entry.event);
    if (is_message && !take_intake_token(*gateways_[entry.gateway])) {
        ++counts.intake_drops;
        return;
    }
    deliver(entry.gateway, *entry.event);
}

bool Fleet::take_intake_token(SimulatedGateway& gateway) const {
    const double rate = module_settings(0, 1).messages_per_s;
    const double elapsed_s =
        static_cast<double>((now_ - gateway.intake_refilled_at).count()) / micros_per_second;
    gateway.intake_tokens = std::min(rate, gateway.intake_tokens + elapsed_s * rate);
    gateway.intake_refilled_at = now_;
    if (gateway.intake_tokens < 1) return false;
    gateway.intake_tokens -= 1;
    return true;
}

void Fleet::deliver(int gateway, const Event& event) {
    std::vector<Action> actions;
    gateways_[gateway]->module.handle(now_, event, actions);
    for (const Action& action : actions) carry_out(gateway, action);
}

void Fleet::carry_out(int gateway, const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
        schedule(timer->from_now, gateway, TimerFired{timer->token});
    } else if (const auto* message = std::get_if<SendMessage>(&action)) {
        send_message(gateway, *message);
    } else if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
        send_attempt(gateway, *attempt);
    } else if (std::holds_alternative<RejectRequest>(action)) {
        ++counts.rejected;
    }
}

// Every attempt succeeds after `response_time`.
void Fleet::send_attempt(int gateway, const SendAttempt& attempt) {
    ++counts.attempts_sent;
    AttemptEnded ended;
    ended.id = attempt.id;
    ended.host = attempt.host;
    ended.elapsed = response_time;
    ended.request_completed = true;
    schedule(response_time, gateway, ended);
}

// Messages addressed to all peers (a negative `to`) are counted but not delivered.
void Fleet::send_message(int from, const SendMessage& message) {
    ++counts.messages;
    counts.message_bytes += message.bytes.size();
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < sweep_.loss;
    if (lost || message.to < 0) return;
    std::uniform_int_distribution<std::int64_t> delay_us(min_message_delay.count(),
                                                         max_message_delay.count());
    schedule(Micros(delay_us(random_)), message.to, MessageArrived{from, message.bytes});
}

}  // namespace gateway::scale

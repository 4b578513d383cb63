// Fixture for tests of the decision module with a simulated clock. Tests pass events to a gateway and examine
// the resulting actions.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/interface.h"
#include "peer_message.h"

namespace gateway::decision::test {
using namespace std::chrono_literals;

// Settings of a single gateway with one request class and one plan: a quota of 2 units per second with a
// burst of 4.
inline Settings single_gateway_settings() {
    Settings settings;
    settings.classes = {{"read", Idempotency::idempotent, DeduplicationScope::all, 800ms, 2s, 0us, 1, 0}};
    settings.plans = {{"plan", 2, 4, 0, 1, 0, 1, 0, 0}};
    settings.max_attempts = 3;
    settings.may_hedge = true;
    settings.may_cancel = true;
    settings.may_send_retry_after = true;
    settings.tick = 4ms;
    settings.slow_start_time = 10s;
    settings.overload_time = 2s;
    settings.overload_multiple = 2;
    settings.slow_start_capacity = 0.2;
    return settings;
}
// Settings of the gateway with rank 0 in a fleet of two.
inline Settings two_gateway_settings() {
    Settings settings = single_gateway_settings();
    settings.instances = 2;
    settings.may_message_peers = true;
    settings.messages_per_s = 60;
    return settings;
}

inline HostEntry host(const std::string& name, HostState state = HostState::up, std::int64_t cell = 0) {
    HostEntry entry;
    entry.host = name;
    entry.cell = cell;
    entry.state = state;
    return entry;
}

// The actions of one type, in order.
template <class Type>
std::vector<Type> actions_of(const std::vector<Action>& actions) {
    std::vector<Type> found;
    for (const Action& action : actions)
        if (const auto* match = std::get_if<Type>(&action)) found.push_back(*match);
    return found;
}

// A gateway with its own clock and timers. Records all actions.
struct ClockedGateway {
    Gateway decision;
    Micros now{1'000'000};
    std::vector<Action> actions;
    std::multimap<Micros, std::uint64_t> timers;

    explicit ClockedGateway(const Settings& settings, std::vector<HostEntry> hosts = {host("a"), host("b")},
                            std::uint64_t seed = 1)
        : decision(settings, seed, Micros(1'000'000)) {
        handle(HostsChanged{true, std::move(hosts)});
    }

    // Passes an event to the gateway. Returns the actions that it emits.
    std::vector<Action> handle(const Event& event) {
        std::vector<Action> new_actions;
        decision.handle(now, event, new_actions);
        for (const Action& action : new_actions)
            if (const auto* timer = std::get_if<SetTimer>(&action))
                timers.emplace(now + timer->from_now, timer->token);
        actions.insert(actions.end(), new_actions.begin(), new_actions.end());
        return new_actions;
    }

    // Advances the clock and fires the timers that are due. Returns the emitted actions.
    std::vector<Action> advance(Micros span) {
        std::vector<Action> new_actions;
        const Micros until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            now = timers.begin()->first;
            const std::uint64_t token = timers.begin()->second;
            timers.erase(timers.begin());
            const std::vector<Action> emitted = handle(TimerFired{token});
            new_actions.insert(new_actions.end(), emitted.begin(), emitted.end());
        }
        now = until;
        return new_actions;
    }

    // Passes the arrival of a request to the gateway.
    std::vector<Action> request(RequestId id, double units = 1, Micros time_left = 2s, int plan = 0,
                                int request_class = 0, const std::string& customer = "c", int set_size = 1) {
        RequestArrived arrival;
        arrival.id = id;
        arrival.customer = customer;
        arrival.plan = plan;
        arrival.request_class = request_class;
        arrival.units = units;
        arrival.time_left = time_left;
        arrival.set_size = set_size;
        return handle(arrival);
    }

    // Passes the end of an attempt to the gateway. A success completes the request.
    std::vector<Action> end_attempt(RequestId id, const std::string& host, Outcome outcome, Micros elapsed,
                                    int attempt = 0, bool request_completed = false) {
        AttemptEnded ended;
        ended.id = id;
        ended.host = host;
        ended.outcome = outcome;
        ended.elapsed = elapsed;
        ended.attempt = attempt;
        ended.request_completed = request_completed || outcome == Outcome::success;
        return handle(ended);
    }
};

// Passes a grant for the first lease request in `request` to the gateway.
inline std::vector<Action> grant_lease(ClockedGateway& gateway, const SendMessage& request, double units) {
    const auto nonce = std::get<LeaseRequest>(decode(request.bytes)->at(0)).nonce;
    return gateway.handle(MessageArrived{request.to, encode({LeaseGrant{nonce, units, 0, 0, 1}})});
}

// Ends attempts with answers that are slow enough for the hosts to count as overloaded.
inline void overload_hosts(ClockedGateway& gateway) {
    for (RequestId id = 1000; id < 1030; ++id) {
        const auto sent = actions_of<SendAttempt>(gateway.request(id, 0, 2s, -1, 0, "rateless"));
        if (!sent.empty()) gateway.end_attempt(id, sent[0].host, Outcome::success, 700ms);
    }
}

}  // namespace gateway::decision::test

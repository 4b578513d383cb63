// Fixture for unit tests: a Context with a simulated clock, and the actions that the module under test emits.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "context.h"
#include "peer_message.h"

namespace gateway::decision {

inline constexpr Micros start_time = std::chrono::seconds(100);
inline constexpr std::uint64_t random_seed = 7;

// Settings of a fleet with one request class. Tests add the plans and permissions that they need.
inline Settings fleet_settings(int instances, int rank = 0) {
    Settings settings;
    settings.instances = instances;
    settings.rank = rank;
    settings.messages_per_s = 100;
    RequestClass request_class;
    request_class.latency_objective = std::chrono::seconds(1);
    request_class.deadline = std::chrono::seconds(10);
    settings.classes.push_back(request_class);
    return settings;
}

// Owns a Context, and begins an event at `start_time` at which the process is not stalled.
class EventContext {
  public:
    explicit EventContext(Settings settings = fleet_settings(1))
        : context(std::move(settings), random_seed, start_time) {
        context.begin_event(start_time, actions);
        context.heartbeat();
        actions.clear();
    }

    // Begins an event that occurs `elapsed` after the current one.
    void advance(Micros elapsed) { context.begin_event(context.now() + elapsed, actions); }

    // The emitted actions of one type, in order.
    template <class Type>
    [[nodiscard]] std::vector<Type> emitted() const {
        std::vector<Type> matches;
        for (const Action& action : actions)
            if (const auto* match = std::get_if<Type>(&action)) matches.push_back(*match);
        return matches;
    }

    // The peer messages of one type in all sent datagrams, in order.
    template <class Message>
    [[nodiscard]] std::vector<Message> sent_to_peers() const {
        std::vector<Message> matches;
        for (const SendMessage& sent : emitted<SendMessage>()) {
            const std::vector<PeerMessage> messages = decode(sent.bytes).value();
            for (const PeerMessage& message : messages)
                if (const auto* match = std::get_if<Message>(&message)) matches.push_back(*match);
        }
        return matches;
    }

    Actions actions;
    Context context;
};

}  // namespace gateway::decision

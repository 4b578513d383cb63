#include "simulator_wire.h"

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "action_writer.h"
#include "event_reader.h"
#include "gateway/interface.h"
#include "host_lists.h"
#include "json/settings.h"
#include "message.h"

namespace gateway::simulator {
namespace {

using namespace decision;
using namespace json;

// An instance of the decision module, which serves one simulated gateway.
struct Instance {
    Gateway gateway;
    SettingsIndex index;
};

// The kinds of messages to one gateway, each of which is an event or destroys the gateway's instance.
enum class MessageKind {
    sync,
    new_request,
    returned,
    destroy,
    gone,
    peer_data,
    ping_result,
    timer,
};

// Returns no value for the name of an unknown message.
std::optional<MessageKind> message_kind(std::string_view name) {
    static const std::unordered_map<std::string_view, MessageKind> kinds{
        {"Sync", MessageKind::sync},
        {"NewRequest", MessageKind::new_request},
        {"Returned", MessageKind::returned},
        {"Destroy", MessageKind::destroy},
        {"Gone", MessageKind::gone},
        {"PeerData", MessageKind::peer_data},
        {"PingResult", MessageKind::ping_result},
        {"Timer", MessageKind::timer},
    };
    const auto found = kinds.find(name);
    if (found == kinds.end()) return std::nullopt;
    return found->second;
}

// Returns no value if the message is not an event, such as Destroy, or if its event is ignored. Sync is read
// elsewhere, because it also needs the host lists.
std::optional<Event> read_event(MessageKind kind, const Fields& fields, const SettingsIndex& index) {
    switch (kind) {
        case MessageKind::new_request:
            return read_request_arrived(fields, index);
        case MessageKind::returned:
            return read_attempt_ended(fields);
        case MessageKind::gone:
            return read_client_disconnected(fields);
        case MessageKind::peer_data:
            return read_message_arrived(fields);
        case MessageKind::ping_result:
            return read_health_check_ended(fields);
        case MessageKind::timer:
            return read_timer_fired(fields);
        case MessageKind::sync:
        case MessageKind::destroy:
            break;
    }
    return std::nullopt;
}

}  // namespace

WireError::WireError(std::uint64_t line_number, const std::string& cause)
    : std::runtime_error("line " + std::to_string(line_number) + ": " + cause), line_number_(line_number) {}

class SimulatorWire::State {
  public:
    bool process_line(std::string& line, std::string& reply);
    [[nodiscard]] std::uint64_t line_count() const noexcept { return line_count_; }

  private:
    void begin_batch(const Fields& fields);
    void end_batch(std::string& reply);
    void handle_message(const Message& message);
    // Handles an Attach message: creates an instance, which replaces an earlier one with the same number.
    void attach(const Fields& fields);
    void handle_instance_message(MessageKind kind, const Fields& fields);
    void deliver(std::int64_t gateway_id, Instance& instance, const Event& event);

    MessageParser parser_;
    std::uint64_t line_count_ = 0;
    Micros now_{0};
    bool in_batch_ = false;
    HostLists host_lists_;
    std::map<std::int64_t, Instance> instances_;  // by gatewayId
    std::vector<Action> actions_;                 // of one event; a member to reuse its capacity
    ActionWriter writer_;
};

SimulatorWire::SimulatorWire() : state_(std::make_unique<State>()) {}
SimulatorWire::~SimulatorWire() = default;

bool SimulatorWire::process_line(std::string& line, std::string& reply) {
    try {
        return state_->process_line(line, reply);
    } catch (const BadValue& error) {
        throw WireError(state_->line_count(), error.what());
    } catch (const std::invalid_argument& error) {
        throw WireError(state_->line_count(), error.what());
    }
}

bool SimulatorWire::State::process_line(std::string& line, std::string& reply) {
    ++line_count_;
    if (is_blank(line)) return false;
    const Message message = parser_.parse(line);
    if (message.name == "Turn") {
        begin_batch(message.fields);
        return false;
    }
    if (!in_batch_) throw_bad_value("message outside a batch", "a Turn line first");
    if (message.name == "EofBatch") {
        end_batch(reply);
        return true;
    }
    handle_message(message);
    return false;
}

void SimulatorWire::State::begin_batch(const Fields& fields) {
    const Micros clock(as_integer(fields.required(0, "clock"), "clock"));
    if (clock < now_) throw_bad_value("clock", "a time that does not go back");
    now_ = clock;
    in_batch_ = true;
}

void SimulatorWire::State::end_batch(std::string& reply) {
    in_batch_ = false;
    writer_.end_reply(reply);
}

void SimulatorWire::State::handle_message(const Message& message) {
    if (message.name == "Attach") return attach(message.fields);
    if (message.name == "Directory") return host_lists_.declare(message.fields);
    if (const auto kind = message_kind(message.name)) handle_instance_message(*kind, message.fields);
}

void SimulatorWire::State::attach(const Fields& fields) {
    const std::int64_t gateway_id = as_integer(fields.required(0, "gatewayId"), "gatewayId");
    if (gateway_id < 0) throw_bad_value("gatewayId", "a number not below 0");
    const Settings settings = read_settings(as_object(fields.required(2, "config"), "config"));
    const std::uint64_t seed = as_unsigned(fields.required(1, "rngSeed"), "rngSeed");
    instances_.insert_or_assign(gateway_id, Instance{Gateway(settings, seed, now_), SettingsIndex(settings)});
}

void SimulatorWire::State::handle_instance_message(MessageKind kind, const Fields& fields) {
    const std::int64_t gateway_id = as_integer(fields.required(0, "gatewayId"), "gatewayId");
    const auto found = instances_.find(gateway_id);
    if (kind == MessageKind::sync) {
        // The message is read even if the gateway is unknown, because a slot without a declared list is an
        // error in any case.
        auto hosts_changed = read_hosts_changed(fields, host_lists_);
        if (!hosts_changed || found == instances_.end()) return;
        return deliver(gateway_id, found->second, *std::move(hosts_changed));
    }
    if (found == instances_.end()) return;
    if (kind == MessageKind::destroy) {
        instances_.erase(found);
        return;
    }
    if (const auto event = read_event(kind, fields, found->second.index))
        deliver(gateway_id, found->second, *event);
}

void SimulatorWire::State::deliver(std::int64_t gateway_id, Instance& instance, const Event& event) {
    actions_.clear();
    instance.gateway.handle(now_, event, actions_);
    for (const Action& action : actions_) writer_.write(gateway_id, action);
}

}  // namespace gateway::simulator

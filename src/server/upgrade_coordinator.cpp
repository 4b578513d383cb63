#include "upgrade_coordinator.h"

#include <fcntl.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "log.h"

namespace gateway::server {
using Kind = HandoverMessage::Kind;

namespace {
constexpr std::size_t chunk_bytes = 32 * 1024;
static_assert(chunk_bytes % ExecutedTraceIds::serialized_length == 0);
// The number of sockets that the predecessor may open for further attempts, in addition to the sockets in
// use.
constexpr std::size_t sockets_for_further_attempts = 16;

// Returns a name that is the same for each process of one gateway, and different for other gateways. It must
// remain computed with std::hash, because processes of earlier releases look for the resulting name.
std::string handover_name(const Config& config) {
    const std::string identity =
        config.name + ' ' + config.listen.address().to_string() + ' ' + std::to_string(config.listen.port());
    char text[24];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(std::hash<std::string>{}(identity)));
    return text;
}

void send_in_chunks(HandoverChannel& channel, Kind kind, const std::string& text) {
    for (std::size_t offset = 0; offset < text.size(); offset += chunk_bytes)
        channel.send(kind, text.substr(offset, chunk_bytes));
}
}  // namespace

UpgradeCoordinator::UpgradeCoordinator(boost::asio::io_context& io, const Dependencies& dependencies)
    : budget_(dependencies.budget),
      total_sockets_(dependencies.budget.limit()),
      dispatcher_(dependencies.dispatcher),
      hosts_(dependencies.hosts),
      pool_(dependencies.pool),
      listeners_(dependencies.listeners),
      requests_(dependencies.requests),
      upgrade_(io,
               HandoverSocket(io, dependencies.config.handover_folder, handover_name(dependencies.config)),
               make_callbacks()) {}

Upgrade::Callbacks UpgradeCoordinator::make_callbacks() {
    Upgrade::Callbacks callbacks;
    callbacks.on_taken_over = [this](Upgrade::InheritedState&& inherited) { serve(std::move(inherited)); };
    callbacks.on_no_takeover = [this] { serve({}); };
    callbacks.on_connection = [this](HandoverMessage&& message) { adopt_connection(std::move(message)); };
    callbacks.on_predecessor_ended = [this] { budget_.set_limit(total_sockets_); };
    callbacks.on_hand_over = [this](HandoverChannel& successor) { hand_over(successor); };
    callbacks.on_successor_lost = [this] { resume_serving(); };
    callbacks.on_superseded = [this] { listeners_.clients()->end_hand_over(); };
    callbacks.on_notification = [this](HandoverMessage&& message) { apply_notification(message); };
    return callbacks;
}

void UpgradeCoordinator::begin() {
    if (!upgrade_.begin()) serve({});
}

void UpgradeCoordinator::ready_to_serve() {
    if (upgrade_.is_waiting_for_predecessor()) upgrade_.ready_to_serve();
}

void UpgradeCoordinator::serve(Upgrade::InheritedState&& inherited) {
    if (inherited.sockets_kept > 0)
        budget_.set_limit(total_sockets_ - std::min(inherited.sockets_kept, total_sockets_ / 2));
    for (const HandoverMessage& notification : inherited.notifications) apply_notification(notification);
    adopt_endpoint_list(inherited.endpoint_list);
    if (!inherited.snapshot.empty())
        dispatcher_.dispatch(decision::RestoreSnapshot{std::move(inherited.snapshot)});
    listeners_.open(std::move(inherited.client_listener), std::move(inherited.peer_socket));
}

// Without this list, a process that starts while discovery is silent would use the list of its configuration
// and send to hosts that its predecessor knew to be draining or gone.
void UpgradeCoordinator::adopt_endpoint_list(const std::string& text) {
    if (text.empty()) return;
    try {
        simdjson::dom::parser parser;
        gateway::json::object root;
        if (parser.parse(text).get(root) != simdjson::SUCCESS)
            gateway::json::throw_bad_value("endpoint list", "a JSON object");
        hosts_.on_predecessor_list(read_endpoint_list(root));
    } catch (const gateway::json::BadValue& error) {
        LogLine(LogLevel::warning, "upgrade_list_ignored").with("error", error.what());
    }
}

// Hands everything over in one step of the event loop: no request can arrive in between, so that both
// processes never decide on the same one.
void UpgradeCoordinator::hand_over(HandoverChannel& successor) {
    dispatcher_.dispatch(decision::HandedOver{true});
    const std::size_t sockets_kept =
        listeners_.clients()->connections_in_flight() + pool_.busy() + sockets_for_further_attempts;
    send_state(successor, sockets_kept);
    send_connections(successor);
    budget_.set_limit(sockets_kept);
    std::string().swap(snapshot_);
}

void UpgradeCoordinator::send_state(HandoverChannel& successor, std::size_t sockets_kept) {
    successor.send(Kind::client_listener, {}, listeners_.clients()->share_listener());
    if (PeerLink* const peers = listeners_.peers()) {
        peers->listen(false);
        successor.send(Kind::peer_socket, {},
                       Descriptor(::fcntl(peers->native_handle(), F_DUPFD_CLOEXEC, 0)));
    }
    send_in_chunks(successor, Kind::snapshot, snapshot_);
    send_in_chunks(successor, Kind::executed_trace_ids, requests_.trace_ids_for_successor());
    // Without a withdrawal, the successor's own list is good enough until discovery answers.
    if (hosts_.has_withdrawn_host())
        send_in_chunks(successor, Kind::endpoint_list, to_json(hosts_.current_list()));
    for (const std::string& uid : hosts_.known_names().names()) successor.send(Kind::known_host, uid);
    for (const std::string& uid : pool_.banned()) successor.send(Kind::ban, uid);
    if (listeners_.standby()) successor.send(Kind::enter_standby);
    successor.send(Kind::complete, std::to_string(sockets_kept));
}

void UpgradeCoordinator::send_connections(HandoverChannel& successor) {
    // Client connections with a request in flight follow as their requests end. The lambda shares the
    // ownership of the channel, which may have been closed by then.
    const auto channel = successor.shared_from_this();
    listeners_.clients()->hand_over([channel](Descriptor&& socket, std::string&& unread, bool first_request) {
        channel->send(Kind::client_connection, (first_request ? '1' : '0') + std::move(unread),
                      std::move(socket));
    });
    pool_.hand_over([&successor](Descriptor&& socket, const std::string& uid, Micros idle_for) {
        successor.send(Kind::host_connection, std::to_string(idle_for.count()) + ' ' + uid,
                       std::move(socket));
    });
}

// Serves again after the successor has ended, even while this process drains, because no other process serves
// the requests that arrive meanwhile.
void UpgradeCoordinator::resume_serving() {
    budget_.set_limit(total_sockets_);
    dispatcher_.dispatch(decision::HandedOver{false});
    if (PeerLink* const peers = listeners_.peers()) peers->listen(true);
    listeners_.clients()->cancel_hand_over();
}

void UpgradeCoordinator::adopt_connection(HandoverMessage&& connection) {
    if (connection.kind == Kind::client_connection) {
        const std::string_view payload = connection.payload;
        const std::string_view first_flag = payload.substr(0, 1);
        const std::string_view unread = payload.substr(std::min<std::size_t>(1, payload.size()));
        listeners_.clients()->adopt(std::move(connection.descriptor), unread, first_flag == "1");
        return;
    }
    const std::size_t space = connection.payload.find(' ');
    if (space == std::string::npos) return;
    const Micros idle_for(std::strtoll(connection.payload.c_str(), nullptr, 10));
    pool_.adopt(std::move(connection.descriptor), connection.payload.substr(space + 1), idle_for);
}

void UpgradeCoordinator::apply_notification(const HandoverMessage& notification) {
    switch (notification.kind) {
        case Kind::ban:
        case Kind::unban:
            return hosts_.set_banned(notification.payload, notification.kind == Kind::ban);
        case Kind::enter_standby:
        case Kind::leave_standby:
            return listeners_.set_standby(notification.kind == Kind::enter_standby);
        case Kind::executed_trace_ids:
            return requests_.add_executed_trace_ids(notification.payload);
        default:
            hosts_.add_known_name(notification.payload);
    }
}

void UpgradeCoordinator::notify_ban(const std::string& uid, bool banned) {
    upgrade_.notify(banned ? Kind::ban : Kind::unban, uid);
}

void UpgradeCoordinator::notify_standby(bool standby) {
    upgrade_.notify(standby ? Kind::enter_standby : Kind::leave_standby);
}

}  // namespace gateway::server

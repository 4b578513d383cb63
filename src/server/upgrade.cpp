#include "upgrade.h"

#include <cstdlib>

#include "log.h"

namespace gateway::server {
using boost::system::error_code;
using Kind = HandoverMessage::Kind;
using namespace std::chrono_literals;

namespace {
// The protocol version, which each side sends first. It must not change, although the program has another
// name now, because processes of earlier releases have to accept it.
const std::string protocol_greeting = "spartrack 1";
// A predecessor that does not send its greeting, or does not hand over, within these times is skipped,
// because the new process has to serve within a few seconds of its start.
constexpr auto greeting_timeout = 500ms;
constexpr auto takeover_timeout = 1500ms;
}  // namespace

Upgrade::Upgrade(boost::asio::io_context& io, HandoverSocket&& handover_socket, Callbacks callbacks)
    : timeout_(io), handover_socket_(std::move(handover_socket)), callbacks_(std::move(callbacks)) {}

Upgrade::~Upgrade() {
    if (predecessor_) predecessor_->close();
    if (successor_) successor_->close();
}

bool Upgrade::begin() {
    predecessor_ = handover_socket_.connect_to_predecessor();
    if (!predecessor_) {
        stage_ = Stage::serving;
        listen_for_successor();
        return false;
    }
    predecessor_->start({[this](HandoverMessage&& message) { on_predecessor_message(std::move(message)); },
                         [this] { on_predecessor_closed(); }});
    predecessor_->send(Kind::greeting, protocol_greeting);
    timeout_.expires_after(greeting_timeout);
    timeout_.async_wait([this](error_code cancelled) {
        if (!cancelled && stage_ == Stage::awaiting_greeting)
            serve_without_takeover("the predecessor sent no greeting in time");
    });
    return true;
}

void Upgrade::on_predecessor_closed() {
    predecessor_.reset();
    if (stage_ != Stage::serving)
        serve_without_takeover("the predecessor ended before the handover was complete");
    else if (callbacks_.on_predecessor_ended) callbacks_.on_predecessor_ended();
}

void Upgrade::ready_to_serve() {
    ready_to_serve_ = true;
    request_takeover();
}

void Upgrade::request_takeover() {
    if (stage_ != Stage::greeted || !ready_to_serve_) return;
    stage_ = Stage::takeover_requested;
    predecessor_->send(Kind::takeover_request);
    timeout_.expires_after(takeover_timeout);
    timeout_.async_wait([this](error_code cancelled) {
        if (!cancelled && stage_ != Stage::serving)
            serve_without_takeover("the predecessor did not hand over in time");
    });
}

void Upgrade::serve_without_takeover(const char* reason) {
    if (stage_ == Stage::serving) return;
    stage_ = Stage::serving;
    LogLine(LogLevel::warning, "upgrade_predecessor_skipped").with("reason", reason);
    timeout_.cancel();
    if (predecessor_) predecessor_->close();
    predecessor_.reset();
    callbacks_.on_no_takeover();
    listen_for_successor();
}

void Upgrade::on_predecessor_message(HandoverMessage&& message) {
    switch (message.kind) {
        case Kind::greeting:
            if (message.payload != protocol_greeting)
                return serve_without_takeover("the predecessor uses another protocol version");
            if (stage_ == Stage::awaiting_greeting) stage_ = Stage::greeted;
            return request_takeover();
        case Kind::client_listener:
            inherited_.client_listener = std::move(message.descriptor);
            return;
        case Kind::peer_socket:
            inherited_.peer_socket = std::move(message.descriptor);
            return;
        case Kind::snapshot:
            inherited_.snapshot += message.payload;
            return;
        case Kind::endpoint_list:
            inherited_.endpoint_list += message.payload;
            return;
        case Kind::complete:
            return on_handover_complete(message);
        case Kind::client_connection:
        case Kind::host_connection:
            if (stage_ == Stage::serving && message.descriptor) callbacks_.on_connection(std::move(message));
            return;
        case Kind::ban:
        case Kind::unban:
        case Kind::enter_standby:
        case Kind::leave_standby:
        case Kind::known_host:
        case Kind::executed_trace_ids:
            if (stage_ == Stage::serving) callbacks_.on_notification(std::move(message));
            else inherited_.notifications.push_back(std::move(message));
            return;
        case Kind::takeover_request:
        case Kind::superseded:
            return;
    }
}

void Upgrade::on_handover_complete(const HandoverMessage& message) {
    if (stage_ == Stage::serving) return;
    if (!inherited_.client_listener)
        return serve_without_takeover("the predecessor handed over no client listener");
    stage_ = Stage::serving;
    timeout_.cancel();
    inherited_.sockets_kept = std::strtoul(message.payload.c_str(), nullptr, 10);
    callbacks_.on_taken_over(std::move(inherited_));
    listen_for_successor();
}

// A further successor replaces one that has connected but not requested the handover.
void Upgrade::listen_for_successor() {
    handover_socket_.listen([this](std::shared_ptr<HandoverChannel> successor) {
        if (handed_over_) return;
        if (successor_) successor_->close();
        successor_ = std::move(successor);
        successor_greeted_ = false;
        successor_->start({[this](HandoverMessage&& message) { on_successor_message(std::move(message)); },
                           [this] { on_successor_closed(); }});
    });
}

void Upgrade::on_successor_message(HandoverMessage&& message) {
    switch (message.kind) {
        case Kind::greeting:
            successor_->send(Kind::greeting, protocol_greeting);
            successor_greeted_ = message.payload == protocol_greeting;
            return;
        case Kind::takeover_request:
            if (!successor_greeted_ || std::exchange(handed_over_, true)) return;
            if (predecessor_) predecessor_->send(Kind::superseded);
            return callbacks_.on_hand_over(*successor_);
        case Kind::superseded:
            superseded_ = handed_over_;
            return;
        case Kind::ban:
        case Kind::unban:
        case Kind::enter_standby:
        case Kind::leave_standby:
            if (successor_greeted_) callbacks_.on_notification(std::move(message));
            return;
        default:
            return;
    }
}

void Upgrade::on_successor_closed() {
    std::deque<HandoverMessage> unsent = successor_->take_unsent();
    successor_.reset();
    if (superseded_) {
        LogLine(LogLevel::info, "upgrade_superseded").with("reason", "the successor has handed over");
        return callbacks_.on_superseded();
    }
    if (!std::exchange(handed_over_, false)) return;
    LogLine(LogLevel::warning, "upgrade_rolled_back").with("reason", "the successor process has ended");
    callbacks_.on_successor_lost();
    for (HandoverMessage& message : unsent)
        if (message.kind == Kind::client_connection || message.kind == Kind::host_connection)
            callbacks_.on_connection(std::move(message));
    listen_for_successor();
}

void Upgrade::notify(Kind kind, const std::string& payload) {
    if (predecessor_) predecessor_->send(kind, payload);
    if (successor_) successor_->send(kind, payload);
}

}  // namespace gateway::server

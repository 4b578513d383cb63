#include "upgrade.h"

#include <cstdlib>

#include "log.h"

namespace gateway::server {
using boost::system::error_code;
using Kind = HandoverMessage::Kind;
using namespace std::chrono_literals;

namespace {
const std::string version = "spartrack 1";
// A former process that does not answer, or does not leave, for this long is passed over: the new one has to
// serve within some seconds of its start.
constexpr auto greeting_most = 500ms, leaving_most = 1500ms;
}  // namespace

Upgrade::Upgrade(boost::asio::io_context& io, HandoverPlace&& place, Callbacks callbacks)
    : patience_(io), place_(std::move(place)), callbacks_(std::move(callbacks)) {}
Upgrade::~Upgrade() {
    if (former_) former_->close();
    if (next_) next_->close();
}

bool Upgrade::begin() {
    former_ = place_.find();
    if (!former_) {
        served_ = true;
        wait_for_next();
        return false;
    }
    former_->start({[this](HandoverMessage&& message) { on_former(std::move(message)); },
                    [this] {
                        former_.reset();
                        if (!served_) alone("it ended");
                        else if (callbacks_.former_ended) callbacks_.former_ended();
                    }});
    former_->send(Kind::hello, version);
    patience_.expires_after(greeting_most);
    patience_.async_wait([this](error_code stopped) {
        if (!stopped && !greeted_) alone("it does not answer");
    });
    return true;
}
void Upgrade::ready() {
    ready_ = true;
    ask();
}
void Upgrade::ask() {
    if (!greeted_ || !ready_ || served_ || std::exchange(asked_, true)) return;
    former_->send(Kind::take);
    patience_.expires_after(leaving_most);
    patience_.async_wait([this](error_code stopped) {
        if (!stopped && !served_) alone("it leaves nothing");
    });
}
void Upgrade::alone(const char* why) {
    if (std::exchange(served_, true)) return;
    LogLine(LogLevel::warning, "upgrade_former_passed_over").with("cause", why);
    patience_.cancel();
    if (former_) former_->close();
    former_.reset();
    callbacks_.serve_alone();
    wait_for_next();
}

void Upgrade::on_former(HandoverMessage&& message) {
    switch (message.kind) {
        case Kind::hello:
            if (message.text != version) return alone("it is of another version");
            greeted_ = true;
            return ask();
        case Kind::listener:
            coming_.listener = std::move(message.descriptor);
            return;
        case Kind::peers:
            coming_.peers = std::move(message.descriptor);
            return;
        case Kind::state:
            coming_.state += message.text;
            return;
        case Kind::done:
            if (served_) return;
            if (!coming_.listener) return alone("it has left no listener");
            served_ = true;
            patience_.cancel();
            coming_.sockets_kept = std::strtoul(message.text.c_str(), nullptr, 10);
            callbacks_.take_over(std::move(coming_));
            return wait_for_next();
        case Kind::client:
        case Kind::host:
            if (served_ && message.descriptor) callbacks_.adopt(std::move(message));
            return;
        case Kind::ban:
        case Kind::put_back:
        case Kind::stand_by:
        case Kind::activate:
        case Kind::named:
            if (served_) callbacks_.told(std::move(message));
            else coming_.facts.push_back(std::move(message));
            return;
        case Kind::take:
            return;
    }
}

// One that comes later takes the place of one that has come and not taken over.
void Upgrade::wait_for_next() {
    place_.wait([this](std::shared_ptr<HandoverChannel> comer) {
        if (left_) return;
        if (next_) next_->close();
        next_ = std::move(comer);
        next_greeted_ = false;
        next_->start(
            {[this](HandoverMessage&& message) { on_next(std::move(message)); }, [this] { end_next(); }});
    });
}
void Upgrade::on_next(HandoverMessage&& message) {
    switch (message.kind) {
        case Kind::hello:
            next_->send(Kind::hello, version);
            next_greeted_ = message.text == version;
            return;
        case Kind::take:
            if (!next_greeted_ || std::exchange(left_, true)) return;
            return callbacks_.leave(*next_);
        case Kind::ban:
        case Kind::put_back:
        case Kind::stand_by:
        case Kind::activate:
            if (next_greeted_) callbacks_.told(std::move(message));
            return;
        default:
            return;
    }
}
void Upgrade::end_next() {
    std::deque<HandoverMessage> unsent = next_->take_unsent();
    next_.reset();
    if (!std::exchange(left_, false)) return;
    LogLine(LogLevel::warning, "upgrade_taken_back").with("cause", "the next process has ended");
    callbacks_.take_back();
    for (HandoverMessage& message : unsent)
        if (message.kind == Kind::client || message.kind == Kind::host) callbacks_.adopt(std::move(message));
    wait_for_next();
}

void Upgrade::tell(Kind kind, const std::string& text) {
    if (former_) former_->send(kind, text);
    if (next_) next_->send(kind, text);
}

}  // namespace gateway::server

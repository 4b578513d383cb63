#include "peer_messenger.h"

#include <algorithm>
#include <utility>

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr double usable_intake_share = 0.8;  // of what a peer takes in
constexpr double intake_memory_s = 1;        // over which the own intake is measured
constexpr double batched_share = 0.25;       // of the rate, for messages that no request waits for
constexpr std::size_t max_outbox = 200;      // messages kept for one peer; more are dropped
constexpr int unanswered_until_silent = 2;   // requests in a row
constexpr Micros silent_period = 1s;         // a silent peer is passed over this long
}  // namespace

void PeerMessenger::post(int to, const PeerMessage& message, bool urgent) {
    Peer& peer = peers_[to];
    if (peer.outbox.size() < max_outbox) peer.outbox.push_back(message);
    if (urgent) flush(to, peer);
    else flush_in(to, peer, batching_delay());
}

// Messages a second that one peer may be sent: an even part of its intake, or what the own intake has left.
double PeerMessenger::rate() const {
    const Settings& settings = context_.settings();
    const double talkers = std::clamp(std::max(heard_, heard_before_), 1, settings.instances);
    const double usable = settings.messages_per_s * usable_intake_share;
    const double taken = intake_.value(context_.now(), intake_memory_s);
    return std::max({1.0, usable / talkers, usable - taken / intake_memory_s});
}

Micros PeerMessenger::batching_delay() const { return to_micros(1 / (rate() * batched_share)); }

Micros PeerMessenger::queueing_delay(int to) const {
    const auto peer = peers_.find(to);
    if (peer == peers_.end() || peer->second.outbox.empty()) return 0us;
    return peer->second.flush_at - context_.now();
}

void PeerMessenger::on_flush_timer(int to) {
    const auto peer = peers_.find(to);
    if (peer == peers_.end() || context_.now() < peer->second.flush_at) return;
    flush(to, peer->second);
}

void PeerMessenger::flush(int to, Peer& peer) {
    const double per_second = rate();
    const Micros now = context_.now();
    peer.tokens = std::min(burst, peer.tokens + per_second * to_seconds(now - peer.refilled_at));
    peer.refilled_at = now;
    while (!peer.outbox.empty() && peer.tokens >= 1) {
        peer.tokens -= 1;
        context_.emit(SendMessage{to, encode(peer.outbox)});
        const auto sent = static_cast<std::ptrdiff_t>(std::min(peer.outbox.size(), max_records_per_message));
        peer.outbox.erase(peer.outbox.begin(), peer.outbox.begin() + sent);
    }
    if (!peer.outbox.empty()) flush_in(to, peer, to_micros((1 - peer.tokens) / per_second));
}

void PeerMessenger::flush_in(int to, Peer& peer, Micros wait) {
    const Micros now = context_.now();
    if (peer.flush_at > now && peer.flush_at <= now + wait) return;
    peer.flush_at = now + wait;
    context_.set_timer(wait, static_cast<std::uint64_t>(to), TimerKind::flush);
}

std::optional<std::vector<PeerMessage>> PeerMessenger::receive(const MessageArrived& message) {
    std::optional<std::vector<PeerMessage>> messages = decode(message.bytes);
    if (!messages) return messages;
    const Micros now = context_.now();
    intake_.add(1, now, intake_memory_s);
    Peer& peer = peers_[message.from];
    peer.unanswered = 0;
    peer.silent_until = 0us;
    if (now - window_began_ >= silent_period) {
        heard_before_ = std::exchange(heard_, 0);
        window_began_ = now;
    }
    if (std::exchange(peer.heard_at, now) < window_began_) ++heard_;
    return messages;
}

void PeerMessenger::record_unanswered(int to, Micros sent_at) {
    Peer& peer = peers_[to];
    if (peer.heard_at >= sent_at) return;
    ++peer.unanswered;
    if (peer.unanswered >= unanswered_until_silent) peer.silent_until = context_.now() + silent_period;
}

bool PeerMessenger::is_silent(int peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && context_.now() < found->second.silent_until;
}

void PeerMessenger::expire_idle(Micros idle_timeout) {
    std::erase_if(
        peers_, [&](const auto& entry) { return context_.since(entry.second.refilled_at) >= idle_timeout; });
}

}  // namespace gateway::decision

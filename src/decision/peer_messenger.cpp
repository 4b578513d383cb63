#include "peer_messenger.h"

#include <algorithm>
#include <utility>

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// Senders use at most this share of the rate of messages that a peer can receive.
constexpr double usable_receive_share = 0.8;
// Time constant in seconds of the rate at which this gateway receives messages.
constexpr double receive_rate_memory_s = 1;
// Share of the send rate that is used for messages that no request waits for.
constexpr double batched_share = 0.25;
// Maximum number of messages in the outbox of one peer. Further messages are dropped.
constexpr std::size_t max_outbox_messages = 200;
// A peer is silent after this number of consecutive unanswered requests.
constexpr int unanswered_until_silent = 2;
// A silent peer is skipped for this time. Also the length of the window over which active peers are counted.
constexpr Micros silent_period = 1s;
}  // namespace

void PeerMessenger::post(int to, const PeerMessage& message, bool urgent) {
    Peer& peer = peers_[to];
    if (peer.outbox.size() < max_outbox_messages) peer.outbox.push_back(message);
    if (urgent) flush(to, peer);
    else flush_in(to, peer, batching_delay());
}

// Maximum rate in messages per second to one peer: an even share of the rate that the peer can receive, or
// the spare receive rate of this gateway if that is higher, but at least one message per second. The load of
// this gateway serves as an estimate of the peer's load.
double PeerMessenger::send_rate() const {
    const Settings& settings = context_.settings();
    const double senders = std::clamp(std::max(active_peers_, previous_active_peers_), 1, settings.instances);
    const double usable_rate = settings.messages_per_s * usable_receive_share;
    const double received = received_messages_.value(context_.now(), receive_rate_memory_s);
    return std::max({1.0, usable_rate / senders, usable_rate - received / receive_rate_memory_s});
}

Micros PeerMessenger::batching_delay() const { return to_micros(1 / (send_rate() * batched_share)); }

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
    const double per_second = send_rate();
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
    received_messages_.add(1, now, receive_rate_memory_s);
    Peer& peer = peers_[message.from];
    peer.unanswered = 0;
    peer.silent_until = 0us;
    if (now - window_started_at_ >= silent_period) {
        previous_active_peers_ = std::exchange(active_peers_, 0);
        window_started_at_ = now;
    }
    if (std::exchange(peer.last_received_at, now) < window_started_at_) ++active_peers_;
    return messages;
}

void PeerMessenger::record_unanswered(int to, Micros sent_at) {
    Peer& peer = peers_[to];
    if (peer.last_received_at >= sent_at) return;
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

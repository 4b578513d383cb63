// Sends messages to the other gateways in batches, limits their rate to what a peer can receive, and tracks
// which peers are silent.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "context.h"
#include "decaying_counter.h"
#include "peer_message.h"

namespace gateway::decision {

// Keeps an outbox, a token bucket and the liveness of each peer.
class PeerMessenger {
  public:
    explicit PeerMessenger(Context& context) : context_(context) {}

    // Sends a message to the peer with rank `to`. An urgent message is sent immediately, within the rate that
    // the peer can receive, which is estimated from the load of this gateway. Other messages are batched.
    // Rate limiting prevents the loss of requests at an overloaded peer, at the cost of a delay.
    void post(int to, const PeerMessage& message, bool urgent);
    // Longest time that a message that is not urgent waits in the outbox to be batched with others. The rate
    // limit can delay it further.
    [[nodiscard]] Micros batching_delay() const;
    // Time until the messages in the peer's outbox are sent; 0 if it is empty.
    [[nodiscard]] Micros queueing_delay(int to) const;
    // Handles the flush timer of the peer.
    void on_flush_timer(int to);

    // Decodes a datagram and records that its sender is alive. Returns std::nullopt for bytes that are not a
    // valid datagram of this version.
    [[nodiscard]] std::optional<std::vector<PeerMessage>> receive(const MessageArrived& message);
    // Records that a request sent to the peer at `sent_at` is unanswered. The request does not count if the
    // peer has sent any message since: the peer is alive, and the request or its answer was lost or is
    // delayed. This prevents fallback holders from granting units that the lease holder grants as well.
    void record_unanswered(int to, Micros sent_at);
    // Whether the peer leaves requests unanswered and has to be skipped for now.
    [[nodiscard]] bool is_silent(int peer) const;

    // Removes peers to which no message was sent for `idle_timeout`.
    void expire_idle(Micros idle_timeout);

  private:
    static constexpr double burst = 3;  // maximum number of datagrams sent to one peer at once
    struct Peer {
        int unanswered = 0;     // number of consecutive unanswered requests
        Micros flush_at{0};     // time at which the outbox is sent
        double tokens = burst;  // number of datagrams that may be sent now
        Micros refilled_at{0};
        Micros silent_until{0};
        Micros last_received_at{0};
        std::vector<PeerMessage> outbox;
    };

    [[nodiscard]] double send_rate() const;
    void flush(int to, Peer& peer);
    void flush_in(int to, Peer& peer, Micros wait);

    Context& context_;
    std::unordered_map<int, Peer> peers_;  // by rank
    DecayingCounter received_messages_;    // datagrams received by this gateway
    int active_peers_ = 0;                 // peers that sent a message in the current window
    int previous_active_peers_ = 0;        // peers that sent a message in the previous window
    Micros window_started_at_{0};
};

}  // namespace gateway::decision

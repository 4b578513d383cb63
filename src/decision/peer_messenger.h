// Messages to the other gateways: bundled, paced by what a peer takes in, and which peers are silent.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "context.h"
#include "decaying_counter.h"
#include "peer_message.h"

namespace gateway::decision {

class PeerMessenger {
  public:
    explicit PeerMessenger(Context& context) : context_(context) {}

    // Sends a message to the peer of that rank. An urgent one goes at once while the peer has room for it, as
    // far as the own intake tells; the rest is bundled. Guards against requests lost in a full intake; costs
    // the wait.
    void post(int to, const PeerMessage& message, bool urgent);
    // How long a message that no request waits for may wait for one to travel with.
    [[nodiscard]] Micros batching_delay() const;
    // How long the messages now waiting for that peer still wait.
    [[nodiscard]] Micros queueing_delay(int to) const;
    // The flush timer of that peer has fired.
    void on_flush_timer(int to);

    // The messages in the bytes, and that their sender is alive; nothing for bytes that no peer of this
    // version packs.
    [[nodiscard]] std::optional<std::vector<PeerMessage>> receive(const MessageArrived& message);
    // A request of that time to the peer is unanswered. A peer heard since is alive: the request or its
    // answer was lost, or waits its turn. Guards against fallback holders that grant again what the holder
    // grants.
    void record_unanswered(int to, Micros sent_at);
    // Whether requests to the peer go unanswered, so that it is passed over for now.
    [[nodiscard]] bool is_silent(int peer) const;

    // Drops peers with which no message was exchanged for so long.
    void expire_idle(Micros idle_timeout);

  private:
    static constexpr double burst = 3;  // messages sent to one peer at once
    struct Peer {
        int unanswered = 0;     // requests in a row
        Micros flush_at{0};     // when the outbox goes
        double tokens = burst;  // messages that may go now
        Micros refilled_at{0};
        Micros silent_until{0};
        Micros heard_at{0};
        std::vector<PeerMessage> outbox;
    };

    [[nodiscard]] double rate() const;
    void flush(int to, Peer& peer);
    void flush_in(int to, Peer& peer, Micros wait);

    Context& context_;
    std::unordered_map<int, Peer> peers_;  // by rank, those talked with
    DecayingCounter intake_;               // messages received
    int heard_ = 0;                        // peers heard in this window
    int heard_before_ = 0;                 // and in the one before
    Micros window_began_{0};
};

}  // namespace gateway::decision

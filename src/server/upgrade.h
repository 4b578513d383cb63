// The upgrade protocol: a successor process takes over the sockets and state of its predecessor.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "handover.h"

namespace gateway::server {

// Implements both sides of an upgrade. A process is first the successor of a running one, if there is one,
// and later the predecessor of the process that replaces it.
class Upgrade {
  public:
    // What a predecessor hands over before the connections, which follow one by one.
    struct InheritedState {
        Descriptor client_listener;
        Descriptor peer_socket;
        // Messages about bans, standby, the uids of known hosts and executed trace ids.
        std::vector<HandoverMessage> notifications;
        // The snapshot of the decision module.
        std::string snapshot;
        // The predecessor's endpoint list in discovery's format; empty if an earlier release sent none.
        std::string endpoint_list;
        // The number of sockets that the predecessor still needs.
        std::size_t sockets_kept = 0;
    };
    struct Callbacks {
        // Called in the successor: the predecessor has handed over, and this process has to serve from now
        // on.
        std::function<void(InheritedState&&)> on_taken_over;
        // Called in the successor: the predecessor hands nothing over, and this process has to bind the
        // addresses and start without inherited state.
        std::function<void()> on_no_takeover;
        // Called for each client or host connection that the predecessor hands over, or that could not be
        // sent to a successor before the successor ended.
        std::function<void(HandoverMessage&&)> on_connection;
        // Called in the successor: the predecessor has ended after the handover.
        std::function<void()> on_predecessor_ended;
        // Called in the predecessor: the callback sends everything in InheritedState, then the connections.
        std::function<void(HandoverChannel&)> on_hand_over;
        // Called in the predecessor: the successor has ended first, and this process has to serve again.
        std::function<void()> on_successor_lost;
        // Called in the predecessor: its successor has handed over in its turn and ended, and this process
        // only completes what it has.
        std::function<void()> on_superseded;
        // Called when the other process reports a ban, a standby change or the uid of a known host.
        std::function<void(HandoverMessage&&)> on_notification;
    };
    Upgrade(boost::asio::io_context& io, HandoverSocket&& handover_socket, Callbacks callbacks);
    ~Upgrade();
    Upgrade(const Upgrade&) = delete;
    Upgrade& operator=(const Upgrade&) = delete;

    // Returns true if there is a predecessor; `on_taken_over` or `on_no_takeover` is called later. Returns
    // false if there is none; this process has to serve at once.
    [[nodiscard]] bool begin();
    // Declares this process ready to serve. The handover is requested as soon as the predecessor has sent its
    // greeting.
    void ready_to_serve();
    // Reports an operator's change of bans or standby to the other process of an upgrade, if there is one.
    void notify(HandoverMessage::Kind kind, const std::string& payload = {});
    // Whether the handover from a predecessor is still outstanding.
    [[nodiscard]] bool is_waiting_for_predecessor() const noexcept {
        return predecessor_ && stage_ != Stage::serving;
    }
    // Whether messages to the successor are still queued.
    [[nodiscard]] bool is_delivering() const noexcept { return successor_ && successor_->has_unsent(); }

  private:
    // The progress of the handover from the predecessor.
    enum class Stage { awaiting_greeting, greeted, takeover_requested, serving };

    void on_predecessor_message(HandoverMessage&& message);
    void on_predecessor_closed();
    void on_successor_message(HandoverMessage&& message);
    void on_successor_closed();
    void request_takeover();
    void on_handover_complete(const HandoverMessage& message);
    void serve_without_takeover(const char* reason);
    void listen_for_successor();

    // The timeout of the predecessor's next step.
    boost::asio::steady_timer timeout_;
    HandoverSocket handover_socket_;
    Callbacks callbacks_;
    std::shared_ptr<HandoverChannel> predecessor_;
    std::shared_ptr<HandoverChannel> successor_;
    // The state received from the predecessor so far.
    InheritedState inherited_;
    Stage stage_ = Stage::awaiting_greeting;
    bool ready_to_serve_ = false;
    // Whether the successor has sent a greeting with this process's protocol version.
    bool successor_greeted_ = false;
    bool handed_over_ = false;
    // Whether the successor has handed over to a successor of its own.
    bool superseded_ = false;
};

}  // namespace gateway::server

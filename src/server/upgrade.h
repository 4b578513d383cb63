// The protocol of an upgrade: the successor process takes the sockets and state of its predecessor over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "handover.h"

namespace gateway::server {

// Either side of an upgrade. A process is first the successor of one that serves, if there is one, and later
// the predecessor of the one that replaces it.
class Upgrade {
  public:
    // What a predecessor leaves before the connections, which follow one by one.
    struct InheritedState {
        Descriptor client_listener;
        Descriptor peer_socket;
        std::vector<HandoverMessage> notifications;  // bans, standby, known host names
        std::string snapshot;                        // of the decision module
        std::size_t sockets_kept = 0;                // that the predecessor still needs
    };
    struct Callbacks {
        // As the successor: the predecessor has handed over; serve from now on.
        std::function<void(InheritedState&&)> on_taken_over;
        // As the successor: the predecessor hands nothing over; bind the addresses and start without state.
        std::function<void()> on_no_takeover;
        // A connection of a client or to a host: from the predecessor, or one that could not be sent to a
        // successor that has ended.
        std::function<void(HandoverMessage&&)> on_connection;
        // As the successor: the predecessor has ended after it handed over.
        std::function<void()> on_predecessor_ended;
        // As the predecessor: send all that InheritedState holds, then the connections.
        std::function<void(HandoverChannel&)> on_hand_over;
        // As the predecessor: the successor has ended before this process; serve again.
        std::function<void()> on_successor_lost;
        // The other process notifies of a ban, standby or host name.
        std::function<void(HandoverMessage&&)> on_notification;
    };
    Upgrade(boost::asio::io_context& io, HandoverSocket&& place, Callbacks callbacks);
    ~Upgrade();
    Upgrade(const Upgrade&) = delete;
    Upgrade& operator=(const Upgrade&) = delete;

    // True: there is a predecessor, and `on_taken_over` or `on_no_takeover` follows. False: there is none,
    // and this process has to serve at once.
    [[nodiscard]] bool begin();
    // This process is able to serve from now on; the predecessor is asked to hand over.
    void ready_to_serve();
    // Tells the other process, if there is one, what operators have called for here.
    void notify(HandoverMessage::Kind kind, const std::string& payload = {});
    // Whether the handover from a predecessor is still to come.
    [[nodiscard]] bool is_waiting_for_predecessor() const noexcept {
        return predecessor_ && stage_ != Stage::serving;
    }
    // Whether messages to the successor are still to be sent.
    [[nodiscard]] bool is_delivering() const noexcept { return successor_ && successor_->has_unsent(); }

  private:
    // Towards the predecessor.
    enum class Stage { awaiting_greeting, greeted, takeover_requested, serving };

    void on_predecessor_message(HandoverMessage&& message);
    void on_predecessor_closed();
    void on_successor_message(HandoverMessage&& message);
    void on_successor_closed();
    void request_takeover();
    void on_handover_complete(const HandoverMessage& message);
    void serve_without_takeover(const char* reason);
    void listen_for_successor();

    boost::asio::steady_timer timeout_;  // of the predecessor's next step
    HandoverSocket place_;
    Callbacks callbacks_;
    std::shared_ptr<HandoverChannel> predecessor_;
    std::shared_ptr<HandoverChannel> successor_;
    InheritedState inherited_;  // until it is complete
    Stage stage_ = Stage::awaiting_greeting;
    bool ready_to_serve_ = false;
    bool successor_greeted_ = false;  // with this process's protocol version
    bool handed_over_ = false;
};

}  // namespace gateway::server

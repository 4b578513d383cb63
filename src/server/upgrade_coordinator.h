// Hands over the gateway's sockets and state to a successor process, and takes over those of a predecessor.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "config.h"
#include "event_dispatcher.h"
#include "host_manager.h"
#include "host_pool.h"
#include "listeners.h"
#include "request_handler.h"
#include "socket_budget.h"
#include "upgrade.h"

namespace gateway::server {

// Connects the upgrade protocol with the components whose state is handed over: listeners, connections, bans,
// standby, known host names, executed trace ids and the decision module's snapshot. During an upgrade, the
// two processes share the limit on descriptors.
class UpgradeCoordinator {
  public:
    // All dependencies must outlive the coordinator, but need not be constructed before `begin`.
    struct Dependencies {
        const Config& config;
        SocketBudget& budget;
        EventDispatcher& dispatcher;
        HostManager& hosts;
        HostPool& pool;
        Listeners& listeners;
        RequestHandler& requests;
    };
    UpgradeCoordinator(boost::asio::io_context& io, const Dependencies& dependencies);

    // Waits for a predecessor's handover, or serves at once if there is no predecessor. Throws ConfigError if
    // an address cannot be bound.
    void begin();
    // Declares this process ready to serve.
    void ready_to_serve();
    // Both functions pass an operator's call on to the other process of an upgrade, because it applies to
    // both.
    void notify_ban(const std::string& uid, bool banned);
    void notify_standby(bool standby);
    // Stores the decision module's snapshot until it is sent to the successor.
    void save_snapshot(std::string&& snapshot) { snapshot_ = std::move(snapshot); }
    // Whether messages to the successor are still queued.
    [[nodiscard]] bool is_delivering() const noexcept { return upgrade_.is_delivering(); }

  private:
    [[nodiscard]] Upgrade::Callbacks make_callbacks();
    void serve(Upgrade::InheritedState&& inherited);
    void hand_over(HandoverChannel& successor);
    void send_state(HandoverChannel& successor, std::size_t sockets_kept);
    void adopt_endpoint_list(const std::string& text);
    void send_connections(HandoverChannel& successor);
    void resume_serving();
    void adopt_connection(HandoverMessage&& connection);
    void apply_notification(const HandoverMessage& notification);

    SocketBudget& budget_;
    // The budget's limit while no other process has a share of the descriptors.
    const std::size_t total_sockets_;
    EventDispatcher& dispatcher_;
    HostManager& hosts_;
    HostPool& pool_;
    Listeners& listeners_;
    RequestHandler& requests_;
    std::string snapshot_;
    Upgrade upgrade_;
};

}  // namespace gateway::server

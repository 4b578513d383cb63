// Hands the gateway's sockets and state to a successor process, and takes a predecessor's over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "config.h"
#include "event_dispatcher.h"
#include "host_manager.h"
#include "host_pool.h"
#include "listeners.h"
#include "socket_budget.h"
#include "upgrade.h"

namespace gateway::server {

// Connects the upgrade protocol with the parts of the gateway that are handed over: listeners, connections,
// bans, standby, known host names and the decision module's snapshot. The two processes share the limit of
// descriptors meanwhile.
class UpgradeCoordinator {
  public:
    // All must outlive the coordinator, but need not be constructed before `begin`.
    struct Dependencies {
        const Config& config;
        SocketBudget& budget;
        EventDispatcher& dispatcher;
        HostManager& hosts;
        HostPool& pool;
        Listeners& listeners;
    };
    UpgradeCoordinator(boost::asio::io_context& io, const Dependencies& dependencies);

    // Waits for a predecessor to hand over, or serves at once where there is none. Throws ConfigError if an
    // address can't be bound.
    void begin();
    // This process is able to serve from now on.
    void ready_to_serve();
    // Operators' calls, which hold for both processes of an upgrade.
    void notify_ban(const std::string& uid, bool banned);
    void notify_standby(bool standby);
    // Keeps the decision module's snapshot until it is sent.
    void save_snapshot(std::string&& snapshot) { snapshot_ = std::move(snapshot); }
    // Whether messages to the successor are still to be sent.
    [[nodiscard]] bool is_delivering() const noexcept { return upgrade_.is_delivering(); }

  private:
    [[nodiscard]] Upgrade::Callbacks make_callbacks();
    void serve(Upgrade::InheritedState&& inherited);
    void hand_over(HandoverChannel& successor);
    void send_state(HandoverChannel& successor, std::size_t sockets_kept);
    void send_connections(HandoverChannel& successor);
    void resume_serving();
    void adopt_connection(HandoverMessage&& connection);
    void apply_notification(const HandoverMessage& notification);

    SocketBudget& budget_;
    const std::size_t total_sockets_;  // of the budget while no other process has a share of it
    EventDispatcher& dispatcher_;
    HostManager& hosts_;
    HostPool& pool_;
    Listeners& listeners_;
    std::string snapshot_;
    Upgrade upgrade_;
};

}  // namespace gateway::server

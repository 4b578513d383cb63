// The gateway process: connects its sockets with the decision module.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "admin_server.h"
#include "clock.h"
#include "config.h"
#include "discovery.h"
#include "event_dispatcher.h"
#include "gateway/interface.h"
#include "gateway/rule_guard.h"
#include "graceful_shutdown.h"
#include "host_manager.h"
#include "host_pool.h"
#include "listeners.h"
#include "load_report.h"
#include "metrics.h"
#include "request_handler.h"
#include "socket_budget.h"
#include "timer_queue.h"
#include "upgrade_coordinator.h"

namespace gateway::server {

// Constructs and owns the components of the gateway and connects their callbacks. Works only on the thread
// that runs `io`.
class Runtime {
  public:
    // Starts the gateway. Before it serves, it looks for a predecessor process with the same name and address
    // in the configuration's `handover_folder`. `budget` must outlive the runtime. Throws ConfigError if an
    // address cannot be bound, and std::invalid_argument if the settings are inconsistent.
    Runtime(boost::asio::io_context& io, SocketBudget& budget, const Config& config);
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    // Applies the part of the configuration that may change at run time: the address of discovery. The
    // current endpoint list stays in use until the new discovery server has sent its own.
    void reload(const Config& config);
    // Starts a graceful shutdown and calls `on_drained` at its end.
    void drain(std::function<void()> on_drained);
    // Whether the gateway processes requests and has a ready host.
    [[nodiscard]] bool ready() const { return listeners_.accepting() && hosts_.has_ready_host(); }
    // Requires that the gateway has started to serve; it has not while it waits for a predecessor's handover.
    [[nodiscard]] const ClientServer& clients() const { return *listeners_.clients(); }
    // Returns null if there are no peers, or before the gateway has started to serve.
    [[nodiscard]] const PeerLink* peers() const { return listeners_.peers(); }
    // Returns null if there is no admin interface.
    [[nodiscard]] const AdminServer* admin_server() const { return admin_server_.get(); }
    // Returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics() const { return metrics_.text(guard_.violations()); }

  private:
    [[nodiscard]] ClientServer::Callbacks client_callbacks();
    [[nodiscard]] HostPool::Callbacks host_callbacks();
    [[nodiscard]] std::unique_ptr<AdminServer> make_admin_server(boost::asio::io_context& io);
    [[nodiscard]] std::unique_ptr<Discovery> make_discovery(boost::asio::io_context& io);
    void execute(decision::Action& action);
    void start_initial_list_timeout();
    void on_initial_list_ready();
    http::status on_admin_call(const AdminCall& call);

    // The members are constructed in this order. Those with sockets come after the members that their
    // callbacks use, so that they are destroyed first.
    const Config config_;
    const Clock clock_;
    decision::Gateway gateway_;
    decision::RuleGuard guard_;
    Metrics metrics_;
    TimerQueue timers_;
    EventDispatcher dispatcher_;
    HostManager hosts_;
    RequestHandler requests_;
    boost::asio::steady_timer initial_list_timeout_;
    HostPool pool_;
    std::unique_ptr<Discovery> discovery_;
    Listeners listeners_;
    std::unique_ptr<AdminServer> admin_server_;
    UpgradeCoordinator upgrade_;
    GracefulShutdown shutdown_;
};

}  // namespace gateway::server

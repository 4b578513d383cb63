// The planned end of the process, on SIGTERM.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "clock.h"
#include "discovery.h"
#include "gateway/rule_guard.h"
#include "listeners.h"
#include "request_handler.h"
#include "upgrade_coordinator.h"

namespace gateway::server {

// Drains the gateway: it serves what arrives for a while, answers what is in flight, and ends once nothing is
// left or the time for it is over.
class GracefulShutdown {
  public:
    // All must outlive the shutdown.
    struct Dependencies {
        const Clock& clock;
        const decision::Settings& settings;
        const decision::RuleGuard& guard;
        Listeners& listeners;
        RequestHandler& requests;
        UpgradeCoordinator& upgrade;
    };
    GracefulShutdown(boost::asio::io_context& io, const Dependencies& dependencies);

    // Calls `on_drained` once, at the end; at once if clients were never served. Stops `discovery`, which
    // must live until then. Further calls do nothing.
    void start(Discovery& discovery, std::function<void()> on_drained);

  private:
    void check();
    void check_after(std::chrono::milliseconds delay);
    [[nodiscard]] Micros latest_end() const;

    const Clock& clock_;
    const decision::Settings& settings_;
    const decision::RuleGuard& guard_;
    Listeners& listeners_;
    RequestHandler& requests_;
    UpgradeCoordinator& upgrade_;
    Discovery* discovery_ = nullptr;  // set by `start`
    std::function<void()> on_drained_;
    boost::asio::steady_timer timer_;
    Micros latest_end_{0};  // clock time
};

}  // namespace gateway::server

// The graceful shutdown of the process on SIGTERM.
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

// Drains the gateway: it serves new requests for a while, answers the requests in flight, and finishes once
// none is left or the time limit is reached. A response that is being written then may be completed.
class GracefulShutdown {
  public:
    // All dependencies must outlive the shutdown.
    struct Dependencies {
        const Clock& clock;
        const decision::Settings& settings;
        const decision::RuleGuard& guard;
        Listeners& listeners;
        RequestHandler& requests;
        UpgradeCoordinator& upgrade;
    };
    GracefulShutdown(boost::asio::io_context& io, const Dependencies& dependencies);

    // Starts the shutdown and calls `on_drained` once at its end, or immediately if the process has never
    // served clients. Stops `discovery`, which must live until then. Further calls have no effect.
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
    // Set by `start`.
    Discovery* discovery_ = nullptr;
    std::function<void()> on_drained_;
    boost::asio::steady_timer timer_;
    // The time of `Clock` at which the shutdown ends at the latest, unless a response is being written.
    Micros latest_end_{0};
    // The time of `Clock` at which the shutdown ends in any case.
    Micros latest_response_end_{0};
};

}  // namespace gateway::server

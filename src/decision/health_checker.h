// Sends health checks to hosts on behalf of waiting requests, within a budget.
#pragma once

#include <vector>

#include "context.h"
#include "host.h"

namespace gateway::decision {

// A gateway learns about a host from the host's responses. Where it sees few of them, a health check takes
// their place. Hosts answer the health checks of all gateways, so a budget limits their number. The budget
// guards against many gateways that each see few responses and send health checks for every request.
class HealthChecker {
  public:
    explicit HealthChecker(Context& context) : context_(context) {}

    // Credits the budget for one arrived request with this gateway's part of the fleet's health checks.
    void credit_request();
    // Takes `checks` health checks from the budget. Returns false and takes nothing if the budget holds
    // fewer.
    [[nodiscard]] bool take_checks(std::size_t checks);
    // Registers the request as waiting for the host's health check. Sends the check unless one is in flight.
    void await_check(Host& host, RequestId id);
    // Ends the host's health check. Returns the requests that waited for it.
    [[nodiscard]] static std::vector<RequestId> end_check(Host& host);

  private:
    // The most health checks that the budget holds. The budget is full at the start.
    static constexpr double max_saved_checks = 4;

    Context& context_;
    double budget_ = max_saved_checks;
};

}  // namespace gateway::decision

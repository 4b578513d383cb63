// Health checks of hosts on behalf of waiting requests, and the budget for them.
#pragma once

#include <vector>

#include "context.h"
#include "host.h"

namespace gateway::decision {

// Health checks stand in for answers where this gateway sees few of a host's. Hosts bear the checks of all
// gateways, so a budget guards against many gateways that see little each and check for every request.
class HealthChecker {
  public:
    explicit HealthChecker(Context& context) : context_(context) {}

    // A request has arrived: it earns this gateway's part of some checks.
    void earn();
    // Takes so many checks from the budget; false, and nothing taken, where it has fewer.
    [[nodiscard]] bool take(std::size_t checks);
    // Has the request wait for the host's health check, which is sent unless one is in flight.
    void request(Host& host, RequestId id);
    // The host's check has ended: the requests that waited for it.
    [[nodiscard]] static std::vector<RequestId> finish(Host& host);

  private:
    static constexpr double max_saved = 4;

    Context& context_;
    double budget_ = max_saved;
};

}  // namespace gateway::decision

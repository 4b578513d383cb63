// One run: a testbed under load, with the faults of a plan.
#pragma once

#include <string>
#include <vector>

#include "fault_injector.h"
#include "oracle.h"
#include "plan.h"
#include "soak_options.h"
#include "testbed.h"

namespace fault_soak {

class Soak {
  public:
    explicit Soak(const SoakOptions& options);

    // Plays the plan to its end and checks what can be checked only then. Throws std::runtime_error where a
    // gateway cannot be started.
    void run();
    [[nodiscard]] const Oracle& oracle() const noexcept { return testbed_.oracle; }
    // A line for each fault.
    [[nodiscard]] std::string plan_text() const;
    // What happened to the request of a violation, and what gateways logged of it.
    [[nodiscard]] std::string trace_text(const Violation& violation) const;
    // The begin of the load.
    [[nodiscard]] Time origin() const noexcept { return origin_; }
    // Ended by a signal: nothing is proved. The gateways end with this object.
    [[nodiscard]] bool interrupted() const noexcept { return interrupted_; }
    // How late this program's own event loop has been at most. Limits of time prove nothing where this
    // exceeds the slack.
    [[nodiscard]] Duration worst_lateness() const noexcept { return worst_lateness_; }

  private:
    Task play();
    Task start_gateways();
    void start_load();
    Task watch_lateness();
    // Reports processes that exit while no fault ends them.
    Task watch_processes();

    Testbed testbed_;
    FaultInjector injector_;
    std::vector<Fault> plan_;
    Time origin_;
    Duration worst_lateness_{0};
    bool interrupted_ = false;
};

}  // namespace fault_soak

// Runs a testbed under load and injects the faults of a plan.
#pragma once

#include <string>
#include <vector>

#include "fault_injector.h"
#include "oracle.h"
#include "plan.h"
#include "soak_options.h"
#include "testbed.h"

namespace fault_soak {

// One run with one seed.
class Soak {
  public:
    // Creates the files, ports and stubs of the run. Throws std::runtime_error if that fails.
    explicit Soak(const SoakOptions& options);

    // Runs the whole plan and then the final checks. If the program of a gateway cannot be started, the load
    // does not begin, and the function returns only after a signal.
    void run();
    [[nodiscard]] const Oracle& oracle() const noexcept { return testbed_.oracle; }
    // Returns the plan as text, one line per fault.
    [[nodiscard]] std::string plan_text() const;
    // Returns the events of the request of a violation and the log lines of the gateways about it. Empty if
    // the violation concerns no single request.
    [[nodiscard]] std::string trace_text(const Violation& violation) const;
    // Returns the time at which the load started.
    [[nodiscard]] Time load_start() const noexcept { return load_start_; }
    // Returns whether a signal ended the run, which makes its results invalid. The destructor kills the
    // gateways.
    [[nodiscard]] bool interrupted() const noexcept { return interrupted_; }
    // Returns the longest delay of a timer in the event loop of this program. If this delay exceeds the
    // slack, violated time limits prove nothing.
    [[nodiscard]] Duration worst_lateness() const noexcept { return worst_lateness_; }

  private:
    Task run_plan();
    Task start_gateways();
    void start_load();
    // Measures worst_lateness() until the run is over.
    Task watch_lateness();
    // Reports processes that exit although no fault ends them.
    Task watch_processes();

    Testbed testbed_;
    FaultInjector injector_;
    std::vector<Fault> plan_;
    Time load_start_;
    Duration worst_lateness_{0};
    bool interrupted_ = false;
};

}  // namespace fault_soak

// Injects faults into the parts of a run, with one function per mechanism. fault_kinds.cpp maps the kinds of
// faults to these functions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fault.h"
#include "testbed.h"

namespace fault_soak {

// Injects the faults of a run. Each coroutine that injects a fault completes when the fault is over and its
// cause has been removed.
class FaultInjector {
  public:
    // The testbed must outlive the injector and its coroutines.
    explicit FaultInjector(Testbed& testbed);

    // Waits until the fault begins and injects it. Skips the fault if another fault is changing the same
    // target.
    Task run_fault(Fault fault);

    // Faults of gateways (gateway_faults.cpp).

    Task restart_gateway(Fault fault);
    // Sends several SIGHUPs, then SIGTERM and further signals until the process has ended, and restarts it.
    Task signal_gateway_in_series(Fault fault);
    // Restarts several gateways one after the other, the next before the one before has ended.
    Task restart_gateways_in_turn(Fault fault);
    Task kill_gateway(Fault fault);
    Task upgrade_gateway(Fault fault);
    Task pause_gateway(Fault fault);
    Task reload_gateway(Fault fault);
    Task reload_truncated_file(Fault fault);
    Task ban_host(Fault fault);
    Task put_on_standby(Fault fault);

    // Faults of hosts, links and discovery (host_faults.cpp).

    Task withdraw_host(Fault fault, HostState state);
    Task restart_host(Fault fault);
    Task set_host_mode(Fault fault, HostMode mode);
    Task drop_idle_connections(Fault fault);
    Task silence_link(Fault fault);
    Task reset_link(Fault fault);
    Task delay_link(Fault fault);
    Task silence_discovery(Fault fault);
    // Has no effect when lists are pushed, because an agent then has the list at hand and rejects no request.
    Task reject_discovery_requests(Fault fault);
    Task set_agent_fault(Fault fault, bool AgentFaults::*agent_fault);

    // Faults of system calls and clients (machine_faults.cpp). `thousandths` is the share of the calls that
    // get the fault.

    Task set_shim_rate(Fault fault, ShimRate rate, std::uint32_t thousandths);
    Task shorten_io(Fault fault, std::uint32_t thousandths);
    Task step_wall_clock(Fault fault);
    Task run_bad_clients(Fault fault);
    Task disconnect_clients(Fault fault);
    // Opens more idle connections to a gateway than it has descriptors.
    Task crowd_gateway(Fault fault);

  private:
    [[nodiscard]] GatewayUnderTest& gateway_of(const Fault& fault);
    [[nodiscard]] HostStub& host_of(const Fault& fault);
    [[nodiscard]] LinkFaults& link_of(const Fault& fault);
    // Marks the gateway or host that the fault changes as changing. Returns false if another fault is
    // changing it.
    [[nodiscard]] bool claim_target(const Fault& fault);
    void release_target(const Fault& fault);
    Task sleep_for(Clock::duration duration);
    // Ends a gateway by SIGTERM, further signals at the given interval, and SIGKILL when its time is over.
    Task shut_down_gateway(int number, Duration signal_interval);
    Task restart_later(Fault fault, Duration delay);
    // Polls a process until it has exited or the time `until` is reached.
    Task await_exit(GatewayProcess& process, Time until);
    // Sends a POST request to the admin server. `succeeded` is set to whether it answered 200.
    Task call_admin_server(const Fault& fault, std::string path, std::string body, bool& succeeded);

    Testbed& testbed_;
    // For each host, whether a fault is changing it now.
    std::vector<bool> host_changing_;
};

}  // namespace fault_soak

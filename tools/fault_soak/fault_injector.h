// Injects faults into the parts of a run, one function for each way of doing so. Which kinds of faults there
// are is in fault_kinds.cpp.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fault.h"
#include "testbed.h"

namespace fault_soak {

// The coroutines complete when the fault is over and its cause is taken back.
class FaultInjector {
  public:
    // The testbed must outlive the injector and its coroutines.
    explicit FaultInjector(Testbed& testbed);

    // Waits for the fault's begin and injects it. A fault whose target another one is changing is left out.
    Task play(Fault fault);

    // ---- gateways (gateway_faults.cpp) ----
    Task restart_gateway(Fault fault);
    Task kill_gateway(Fault fault);
    Task upgrade_gateway(Fault fault);
    Task pause_gateway(Fault fault);
    Task reload_gateway(Fault fault);
    Task reload_truncated_file(Fault fault);
    Task ban_host(Fault fault);
    Task put_on_standby(Fault fault);

    // ---- hosts, links and discovery (host_faults.cpp) ----
    Task withdraw_host(Fault fault, HostState state);
    Task restart_host(Fault fault);
    Task set_host_mode(Fault fault, HostMode mode);
    Task drop_idle_connections(Fault fault);
    Task silence_link(Fault fault);
    Task reset_link(Fault fault);
    Task delay_link(Fault fault);
    Task silence_discovery(Fault fault);
    // No effect where lists are pushed: an agent that has them at hand rejects nothing.
    Task reject_discovery_requests(Fault fault);
    Task set_agent_fault(Fault fault, bool AgentFaults::*agent_fault);

    // ---- system calls and clients (machine_faults.cpp) ----
    // `thousandths`: the share of the calls that get the fault.
    Task set_shim_rate(Fault fault, ShimRate rate, std::uint32_t thousandths);
    Task shorten_io(Fault fault, std::uint32_t thousandths);
    Task step_wall_clock(Fault fault);
    Task run_bad_clients(Fault fault);
    Task disconnect_clients(Fault fault);

  private:
    [[nodiscard]] GatewayUnderTest& gateway_of(const Fault& fault);
    [[nodiscard]] HostStub& host_of(const Fault& fault);
    [[nodiscard]] LinkFaults& link_of(const Fault& fault);
    // Whether the gateway or the host that the fault changes is free; marks it as changing then.
    [[nodiscard]] bool claim_target(const Fault& fault);
    void release_target(const Fault& fault);
    Task sleep_for(Clock::duration duration);
    // Polls a process until it has exited or the time is over.
    Task await_exit(GatewayProcess& process, Time until);
    // `done`: whether the admin server answered 200.
    Task call_admin_server(const Fault& fault, std::string path, std::string body, bool& done);

    Testbed& testbed_;
    std::vector<bool> host_changing_;  // by a fault now
};

}  // namespace fault_soak

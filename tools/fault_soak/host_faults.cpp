// Faults of hosts, of links to them and of discovery.
#include "fault_injector.h"

namespace fault_soak {
namespace {

// A restarted host stays down for the length of the fault divided by this.
constexpr int restart_down_time_divisor = 3;
// Delays of links are shorter than this.
constexpr std::uint64_t link_delay_limit_ms = 1000;
// The value of `boot_ms` for a host that has not restarted.
constexpr std::int64_t not_restarted = 0;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Task FaultInjector::withdraw_host(Fault fault, HostState state) {
    testbed_.change_host(fault.host, state, not_restarted);
    co_await sleep_for(fault.length);
    testbed_.change_host(fault.host, HostState::ready, not_restarted);
}

Task FaultInjector::restart_host(Fault fault) {
    HostStub& host = host_of(fault);
    host.set_mode(HostMode::down);
    testbed_.change_host(fault.host, HostState::gone, not_restarted);
    co_await sleep_for(fault.length / restart_down_time_divisor);
    host.set_mode(HostMode::serving);
    testbed_.change_host(fault.host, HostState::ready, unix_ms());
}

Task FaultInjector::set_host_mode(Fault fault, HostMode mode) {
    HostStub& host = host_of(fault);
    host.set_mode(mode);
    co_await sleep_for(fault.length);
    host.set_mode(HostMode::serving);
}

Task FaultInjector::drop_idle_connections(Fault fault) {
    host_of(fault).drop_idle(fault.variation % 2 == 0);
    co_return;
}

Task FaultInjector::silence_link(Fault fault) {
    LinkFaults& link = link_of(fault);
    link.silent = true;
    co_await sleep_for(fault.length);
    link.silent = false;
}

Task FaultInjector::reset_link(Fault fault) {
    testbed_.proxy->reset_connections(fault.gateway, fault.host);
    co_return;
}

Task FaultInjector::delay_link(Fault fault) {
    LinkFaults& link = link_of(fault);
    link.delay = Duration(static_cast<std::int64_t>(fault.variation % link_delay_limit_ms));
    testbed_.proxy->reset_connections(fault.gateway, fault.host);
    co_await sleep_for(fault.length);
    link.delay = Duration(0);
}

Task FaultInjector::silence_discovery(Fault fault) {
    DiscoveryAgent& agent = *gateway_of(fault).agent;
    if (agent.faults.silent) co_return;
    agent.start_silence();
    co_await sleep_for(fault.length);
    agent.faults.silent = false;
    testbed_.record_pushed_list(fault.gateway, Clock::now());
    if (!testbed_.lists_pushed) co_await testbed_.record_polled_list(fault.gateway, Clock::now());
}

Task FaultInjector::reject_discovery_requests(Fault fault) {
    if (!testbed_.lists_pushed) co_await set_agent_fault(fault, &AgentFaults::rejects);
}

Task FaultInjector::set_agent_fault(Fault fault, bool AgentFaults::*agent_fault) {
    AgentFaults& faults = gateway_of(fault).agent->faults;
    faults.*agent_fault = true;
    co_await sleep_for(fault.length);
    faults.*agent_fault = false;
}

}  // namespace fault_soak

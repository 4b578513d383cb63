#include "fault_kinds.h"

#include "fault_injector.h"

namespace fault_soak {
namespace {

using Injector = FaultInjector;

// Shares of system calls, in thousandths.
constexpr std::uint32_t always = 1000;
constexpr std::uint32_t often = 300;
constexpr std::uint32_t seldom = 50;

// Calls a function of the injector, with further arguments behind the fault.
template <auto function, auto... arguments>
Task inject(FaultInjector& injector, const Fault& fault) {
    return (injector.*function)(fault, arguments...);
}

constexpr FaultKind table[] = {
    // ---- gateways ----
    // SIGTERM, and SIGKILL when the grace period is over.
    {"gateway_restart", FaultTarget::gateway, inject<&Injector::restart_gateway>},
    // SIGKILL at once.
    {"gateway_kill", FaultTarget::gateway, inject<&Injector::kill_gateway>},
    // SIGHUP over a configuration that moves discovery to another address.
    {"gateway_reload", FaultTarget::gateway, inject<&Injector::reload_gateway>},
    // SIGHUP over a configuration that is half written.
    {"gateway_bad_file", FaultTarget::gateway, inject<&Injector::reload_truncated_file>},
    // A second process takes over from the first.
    {"gateway_upgrade", FaultTarget::gateway, inject<&Injector::upgrade_gateway>},
    // SIGSTOP for a moment.
    {"gateway_pause", FaultTarget::gateway, inject<&Injector::pause_gateway>},

    // ---- hosts ----
    // Listed as draining, still answering.
    {"host_drain", FaultTarget::host, inject<&Injector::withdraw_host, HostState::draining>},
    // Gone from the list, still answering.
    {"host_remove", FaultTarget::host, inject<&Injector::withdraw_host, HostState::gone>},
    // Down for a while, then back in slow start.
    {"host_restart", FaultTarget::host, inject<&Injector::restart_host>},
    // Takes requests and sends no response.
    {"host_hang", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::hanging>},
    // Resets connections under requests.
    {"host_reset", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::resetting>},
    // Answers 500 or 503.
    {"host_errors", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::erroring>},
    // Cut, endless, doubled or unreadable responses.
    {"host_spoilt", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::corrupting>},
    {"host_slow", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::slow>},
    // Ends connections that carry no request.
    {"host_drops_idle", FaultTarget::host, inject<&Injector::drop_idle_connections>},

    // ---- links between one gateway and one host ----
    // Carries nothing.
    {"link_silent", FaultTarget::other, inject<&Injector::silence_link>},
    // Its connections are reset.
    {"link_reset", FaultTarget::other, inject<&Injector::reset_link>},
    // What goes over a new connection arrives late.
    {"link_late", FaultTarget::other, inject<&Injector::delay_link>},

    // ---- discovery at one gateway ----
    // Takes requests and sends no response.
    {"discovery_silent", FaultTarget::other, inject<&Injector::silence_discovery>},
    // Answers 503.
    {"discovery_refuses", FaultTarget::other, inject<&Injector::reject_discovery_requests>},
    // Sends responses in pieces.
    {"discovery_slow", FaultTarget::other, inject<&Injector::set_agent_fault, &AgentFaults::slow>},
    // Sends complete lists only.
    {"discovery_whole", FaultTarget::other, inject<&Injector::set_agent_fault, &AgentFaults::complete_lists>},

    // ---- system calls of one gateway, by the shim ----
    // The wall clock steps by an hour, forth or back.
    {"wall_clock_step", FaultTarget::other, inject<&Injector::step_wall_clock>},
    // Reads and writes move fewer bytes than asked for.
    {"short_io", FaultTarget::other, inject<&Injector::shorten_io, often>},
    {"interrupted_waits", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::interrupted_waits, often>},
    {"failing_accepts", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_accepts, often>},
    {"failing_connects", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_connects, seldom>},
    {"failing_files", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_files, often>},
    // Connections never come up.
    {"hanging_connects", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::hanging_connects, often>},
    // Some of the messages to other gateways are lost.
    {"lost_datagrams", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::lost_datagrams, often>},
    // All messages to other gateways are lost.
    {"peers_cut", FaultTarget::other, inject<&Injector::set_shim_rate, &ShimControl::lost_datagrams, always>},

    // ---- clients and operators ----
    // Half requests, floods, lines without an end, bytes that are no request.
    {"bad_clients", FaultTarget::other, inject<&Injector::run_bad_clients>},
    // Many clients disconnect before their response.
    {"clients_leave", FaultTarget::other, inject<&Injector::disconnect_clients>},
    // Operators ban a host at one gateway, and lift the ban.
    {"operator_ban", FaultTarget::gateway, inject<&Injector::ban_host>},
    // Operators put a gateway on standby, and activate it again.
    {"operator_standby", FaultTarget::gateway, inject<&Injector::put_on_standby>},
};

}  // namespace

std::span<const FaultKind> fault_kinds() { return table; }

const FaultKind* find_fault_kind(std::string_view name) {
    for (const FaultKind& kind : table)
        if (name == kind.name) return &kind;
    return nullptr;
}

}  // namespace fault_soak

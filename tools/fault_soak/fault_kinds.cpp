#include "fault_kinds.h"

#include "fault_injector.h"

namespace fault_soak {
namespace {

using Injector = FaultInjector;

// Shares of system calls, in thousandths.
constexpr std::uint32_t always = 1000;
constexpr std::uint32_t often = 300;
constexpr std::uint32_t seldom = 50;

// Calls a member function of the injector with the fault and further constant arguments.
template <auto function, auto... arguments>
Task inject(FaultInjector& injector, const Fault& fault) {
    return (injector.*function)(fault, arguments...);
}

constexpr FaultKind table[] = {
    // Faults of gateways.

    // Sends SIGTERM, then SIGKILL when the grace period is over, and starts the gateway again.
    {"gateway_restart", FaultTarget::gateway, inject<&Injector::restart_gateway>},
    // Sends several SIGHUPs, then SIGTERM and further signals, and starts the gateway again.
    {"signal_series", FaultTarget::gateway, inject<&Injector::signal_gateway_in_series>},
    // Restarts several gateways in turn.
    {"restart_in_turn", FaultTarget::gateway, inject<&Injector::restart_gateways_in_turn>},
    // Sends SIGKILL at once and starts the gateway again.
    {"gateway_kill", FaultTarget::gateway, inject<&Injector::kill_gateway>},
    // Sends SIGHUP after writing a configuration that moves discovery to another address.
    {"gateway_reload", FaultTarget::gateway, inject<&Injector::reload_gateway>},
    // Sends SIGHUP while the configuration file is truncated.
    {"gateway_bad_file", FaultTarget::gateway, inject<&Injector::reload_truncated_file>},
    // Starts a second process, which takes over from the first.
    {"gateway_upgrade", FaultTarget::gateway, inject<&Injector::upgrade_gateway>},
    // Stops the process with SIGSTOP for a short time.
    {"gateway_pause", FaultTarget::gateway, inject<&Injector::pause_gateway>},

    // Faults of hosts.

    // The host is listed as draining but still answers.
    {"host_drain", FaultTarget::host, inject<&Injector::withdraw_host, HostState::draining>},
    // The host is removed from the list but still answers.
    {"host_remove", FaultTarget::host, inject<&Injector::withdraw_host, HostState::gone>},
    // The host is down for a while and then returns in slow start.
    {"host_restart", FaultTarget::host, inject<&Injector::restart_host>},
    // The host accepts requests but sends no response.
    {"host_hang", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::hanging>},
    // The host resets connections that carry a request.
    {"host_reset", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::resetting>},
    // The host answers with status 500 or 503.
    {"host_errors", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::erroring>},
    // The host sends truncated, endless, duplicated or unreadable responses.
    {"host_spoilt", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::corrupting>},
    // The host takes longer to answer.
    {"host_slow", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::slow>},
    // The host writes long responses slowly, in all framings.
    {"host_trickles", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::trickling>},
    // The host reads requests slowly.
    {"host_reads_slowly", FaultTarget::host, inject<&Injector::set_host_mode, HostMode::reading_slowly>},
    // The host closes or resets connections that carry no request.
    {"host_drops_idle", FaultTarget::host, inject<&Injector::drop_idle_connections>},

    // Faults of the link between one gateway and one host.

    // The link forwards no bytes.
    {"link_silent", FaultTarget::other, inject<&Injector::silence_link>},
    // All connections of the link are reset.
    {"link_reset", FaultTarget::other, inject<&Injector::reset_link>},
    // The first bytes of each new connection arrive late.
    {"link_late", FaultTarget::other, inject<&Injector::delay_link>},

    // Faults of the discovery agent of one gateway.

    // The agent accepts requests but sends no response.
    {"discovery_silent", FaultTarget::other, inject<&Injector::silence_discovery>},
    // The agent answers with status 503.
    {"discovery_refuses", FaultTarget::other, inject<&Injector::reject_discovery_requests>},
    // The agent sends responses in pieces.
    {"discovery_slow", FaultTarget::other, inject<&Injector::set_agent_fault, &AgentFaults::slow>},
    // The agent sends only complete lists.
    {"discovery_whole", FaultTarget::other, inject<&Injector::set_agent_fault, &AgentFaults::complete_lists>},

    // Faults of system calls of one gateway, which the shim injects.

    // The wall clock steps forward or back by one hour.
    {"wall_clock_step", FaultTarget::other, inject<&Injector::step_wall_clock>},
    // Reads and writes transfer fewer bytes than requested.
    {"short_io", FaultTarget::other, inject<&Injector::shorten_io, often>},
    // Waits for events on sockets are interrupted with EINTR.
    {"interrupted_waits", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::interrupted_waits, often>},
    // Calls that accept a connection fail.
    {"failing_accepts", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_accepts, often>},
    // Calls that create or connect an IPv4 socket fail.
    {"failing_connects", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_connects, seldom>},
    // Calls that open a file or bind a Unix domain socket fail.
    {"failing_files", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::failing_files, often>},
    // Connection attempts never complete.
    {"hanging_connects", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::hanging_connects, often>},
    // Some of the peer messages to other gateways are lost.
    {"lost_datagrams", FaultTarget::other,
     inject<&Injector::set_shim_rate, &ShimControl::lost_datagrams, often>},
    // All peer messages to other gateways are lost.
    {"peers_cut", FaultTarget::other, inject<&Injector::set_shim_rate, &ShimControl::lost_datagrams, always>},

    // Faults caused by clients and operators.

    // Clients send incomplete requests, floods of bytes, lines without an end and bytes that are not a
    // request.
    {"bad_clients", FaultTarget::other, inject<&Injector::run_bad_clients>},
    // Idle clients use up the descriptors of a gateway.
    {"crowd", FaultTarget::gateway, inject<&Injector::crowd_gateway>},
    // Many clients disconnect before they receive their response.
    {"clients_leave", FaultTarget::other, inject<&Injector::disconnect_clients>},
    // Operators ban a host at one gateway and lift the ban later.
    {"operator_ban", FaultTarget::gateway, inject<&Injector::ban_host>},
    // Operators put a gateway on standby and activate it again later.
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

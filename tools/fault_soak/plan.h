// Which troubles come when: drawn from a seed, so that a run can be repeated.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "time.h"

namespace fault_soak {

using Random = std::mt19937_64;

enum class TroubleKind {
    gateway_restart,   // SIGTERM, and SIGKILL when its time is over
    gateway_kill,      // SIGKILL at once
    gateway_reload,    // a new configuration moves discovery
    gateway_bad_file,  // SIGHUP over a configuration that is half written
    gateway_upgrade,   // a second process beside the first
    gateway_pause,     // SIGSTOP for a moment
    host_drain,        // announced, still answering
    host_remove,       // gone from the list, still answering
    host_restart,      // comes back cold
    host_hang,         // takes requests and says nothing
    host_reset,        // resets connections under requests
    host_errors,       // 500, or turned away
    host_spoilt,       // cut, endless, doubled or unreadable answers
    host_slow,
    host_drops_idle,  // ends connections that carry nothing
    link_silent,      // one gateway's way to one host carries nothing
    link_reset,       // its connections are reset
    link_late,        // what goes over a new connection arrives late
    discovery_silent,
    discovery_refuses,
    discovery_slow,   // answers in pieces
    discovery_whole,  // tells whole lists only
    wall_clock_step,
    short_io,
    interrupted_waits,
    failing_accepts,
    failing_connects,
    failing_files,
    hanging_connects,
    lost_datagrams,
    peers_cut,    // a gateway's messages to others are all lost
    bad_clients,  // half requests, floods, lines without an end, bytes that are no request
    clients_leave,
    operator_ban,  // operators take a host out at one gateway, and put it back
    operator_standby,
};
constexpr int trouble_kinds = static_cast<int>(TroubleKind::operator_standby) + 1;
const char* name_of(TroubleKind kind);

struct Trouble {
    TroubleKind kind = TroubleKind::gateway_restart;
    Span at{0}, length{0};  // from the begin of the load
    int gateway = 0, host = 0;
    std::uint64_t chance = 0;  // what else it draws
};

struct PlanShape {
    std::uint64_t seed = 1;
    int gateways = 12, hosts = 10;
    Span length{20000};
    int at_once = 3;  // troubles, at most
};

// In order of their begin. The last ones end some seconds before the run does.
std::vector<Trouble> draw_plan(const PlanShape& shape);
std::string describe(const Trouble& trouble);

}  // namespace fault_soak

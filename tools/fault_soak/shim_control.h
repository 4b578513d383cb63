// The contents of the control file that the soak and the shim in each gateway process map into memory.
#pragma once

#include <atomic>
#include <cstdint>

namespace fault_soak {

// Each rate is the share of the respective system calls that get the fault, in thousandths. If all values are
// 0, the shim changes nothing.
struct ShimControl {
    // Writes and reads on TCP sockets that transfer fewer bytes than requested.
    std::atomic<std::uint32_t> short_writes{0};
    std::atomic<std::uint32_t> short_reads{0};
    // Calls of epoll_wait() that fail with EINTR.
    std::atomic<std::uint32_t> interrupted_waits{0};
    // Calls of accept() and accept4() that fail.
    std::atomic<std::uint32_t> failing_accepts{0};
    // Calls of socket() and connect() for IPv4 that fail.
    std::atomic<std::uint32_t> failing_connects{0};
    // Connection attempts that are redirected to `black_hole_port`.
    std::atomic<std::uint32_t> hanging_connects{0};
    // Datagrams that are dropped although sendto() reports success.
    std::atomic<std::uint32_t> lost_datagrams{0};
    // Calls that fail to open a file with fopen() or to bind a Unix domain socket.
    std::atomic<std::uint32_t> failing_files{0};
    // Seconds that are added to the wall clock.
    std::atomic<std::int64_t> wall_clock_step_s{0};
    // A loopback port on which connection attempts never complete (black_hole.h).
    std::atomic<std::uint32_t> black_hole_port{0};
};
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

// Selects one of the rates of ShimControl.
using ShimRate = std::atomic<std::uint32_t> ShimControl::*;

// Environment variables of a gateway process that contain the path of the control file and the seed of the
// shim.
constexpr const char* shim_control_variable = "FAULT_SHIM_CONTROL";
constexpr const char* shim_seed_variable = "FAULT_SHIM_SEED";

}  // namespace fault_soak

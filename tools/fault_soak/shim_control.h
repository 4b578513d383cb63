// What the soak and the shim in each gateway process share: a file that both have mapped.
#pragma once

#include <atomic>
#include <cstdint>

namespace fault_soak {

// Each rate is the share of the system calls concerned that get the fault, in thousandths. With all values 0
// the shim changes nothing.
struct ShimControl {
    std::atomic<std::uint32_t> short_writes{0};
    std::atomic<std::uint32_t> short_reads{0};
    std::atomic<std::uint32_t> interrupted_waits{0};
    std::atomic<std::uint32_t> failing_accepts{0};
    std::atomic<std::uint32_t> failing_connects{0};
    std::atomic<std::uint32_t> hanging_connects{0};  // sent to `black_hole_port` instead
    std::atomic<std::uint32_t> lost_datagrams{0};
    std::atomic<std::uint32_t> failing_files{0};
    std::atomic<std::int64_t> wall_clock_step_s{0};  // added to the wall clock, in seconds
    std::atomic<std::uint32_t> black_hole_port{0};   // of loopback; connections to it never come up
};
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

// One of the rates above.
using ShimRate = std::atomic<std::uint32_t> ShimControl::*;

// Environment variables of a gateway process: the path of the control file, and the seed of the shim.
constexpr const char* shim_control_variable = "FAULT_SHIM_CONTROL";
constexpr const char* shim_seed_variable = "FAULT_SHIM_SEED";

}  // namespace fault_soak

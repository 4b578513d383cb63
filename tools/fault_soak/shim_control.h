// What the soak and the shim in each gateway share: a file mapped by both.
#pragma once

#include <atomic>
#include <cstdint>

namespace fault_soak {

// Chances are in thousandths of the calls concerned. All zero: the shim changes nothing.
struct ShimControl {
    std::atomic<std::uint32_t> short_writes{0};
    std::atomic<std::uint32_t> short_reads{0};
    std::atomic<std::uint32_t> interrupted_waits{0};
    std::atomic<std::uint32_t> failing_accepts{0};
    std::atomic<std::uint32_t> failing_connects{0};
    std::atomic<std::uint32_t> hanging_connects{0};
    std::atomic<std::uint32_t> lost_datagrams{0};
    std::atomic<std::uint32_t> failing_files{0};
    std::atomic<std::int64_t> wall_clock_step_s{0};
    std::atomic<std::uint32_t> black_hole_port{0};  // connections to it never come up
};
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

constexpr const char* shim_control_variable = "FAULT_SHIM_CONTROL";
constexpr const char* shim_seed_variable = "FAULT_SHIM_SEED";

}  // namespace fault_soak

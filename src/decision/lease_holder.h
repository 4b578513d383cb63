// Which gateway holds a customer's quota ledger.
#pragma once

#include <cstdint>

#include "gateway/interface.h"

namespace gateway::decision {

// The gateways through which a customer's requests arrive, and its place among them.
struct CustomerSet {
    std::uint32_t customer = 0;  // hash of the name
    int set_size = 1;
    int set_start = 0;  // rank of the first gateway
};

// Rank of the customer's lease holder (`place` 0) or of a fallback holder, in the order in which they stand
// in. All gateways of the set find the same ones.
[[nodiscard]] inline int lease_holder(const Settings& settings, const CustomerSet& set, int place = 0) {
    const auto size = static_cast<std::uint32_t>(set.set_size);
    const std::uint32_t step = 1 + size / 3;
    const std::uint32_t at = (set.customer + static_cast<std::uint32_t>(place) * step) % size;
    const auto instances = static_cast<std::uint32_t>(settings.instances);
    return static_cast<int>((static_cast<std::uint32_t>(set.set_start) + at) % instances);
}

}  // namespace gateway::decision

// Determines the gateway that holds a customer's quota ledger.
#pragma once

#include <cstdint>

#include "gateway/interface.h"

namespace gateway::decision {

// A customer and the set of gateways through which its requests arrive.
struct CustomerSet {
    std::uint32_t customer = 0;  // hash of the customer's name
    int set_size = 1;            // number of gateways in the set
    int set_start = 0;           // rank of the first gateway of the set
};

// Rank of the customer's lease holder (`fallback` 0) or of its fallback holders (`fallback` 1 and above), in
// the order in which they replace the lease holder. All gateways of the set compute the same ranks.
[[nodiscard]] inline int lease_holder(const Settings& settings, const CustomerSet& set, int fallback = 0) {
    const auto size = static_cast<std::uint32_t>(set.set_size);
    const std::uint32_t step = 1 + size / 3;
    const std::uint32_t offset = (set.customer + static_cast<std::uint32_t>(fallback) * step) % size;
    const auto instances = static_cast<std::uint32_t>(settings.instances);
    return static_cast<int>((static_cast<std::uint32_t>(set.set_start) + offset) % instances);
}

}  // namespace gateway::decision

// The random number generator of the soak. The plan, each client and each host have generators of their own,
// whose seeds derive from the seed of the run, so that a plan can be repeated.
#pragma once

#include <random>

namespace fault_soak {

using Random = std::mt19937_64;

}  // namespace fault_soak

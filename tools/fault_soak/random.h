// The random number generator of the soak. Plans, clients and hosts each have a generator of their own with a
// fixed seed, so that a plan can be repeated.
#pragma once

#include <random>

namespace fault_soak {

using Random = std::mt19937_64;

}  // namespace fault_soak

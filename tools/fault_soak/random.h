// The soak's random numbers. Plans, clients and hosts draw theirs from generators of their own, each with a
// fixed seed, so that a plan can be played again.
#pragma once

#include <random>

namespace fault_soak {

using Random = std::mt19937_64;

}  // namespace fault_soak

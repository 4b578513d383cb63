// The configuration file of a gateway of the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oracle.h"

namespace fault_soak {

// What differs between the gateways, runs and reloads. Addresses are as "127.0.0.1:8080".
struct GatewayConfig {
    int number = 0;  // its rank
    int gateways = 1;
    std::uint64_t seed = 0;
    std::string listen;
    std::string admin;
    std::string discovery;
    std::string peer_listen;
    std::vector<std::string> peers;  // of all gateways, its own included
    std::string known_list;          // the endpoint list, in discovery's JSON
    bool lists_pushed = true;
    bool may_hedge = false;
};

// The configuration in JSON. Its time limits and capacities are those of `settings`.
[[nodiscard]] std::string to_json(const GatewayConfig& config, const OracleSettings& settings);

}  // namespace fault_soak

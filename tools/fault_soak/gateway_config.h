// Generates the configuration file of a gateway.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oracle.h"

namespace fault_soak {

// The values that differ between gateways, runs and reloads. Addresses have the form "127.0.0.1:8080".
struct GatewayConfig {
    // The rank of the gateway.
    int number = 0;
    int gateways = 1;
    std::uint64_t seed = 0;
    std::string listen;
    std::string admin;
    std::string discovery;
    std::string peer_listen;
    // Peer addresses of all gateways, including this one.
    std::vector<std::string> peers;
    // The endpoint list in the JSON format of discovery.
    std::string known_list;
    bool lists_pushed = true;
    bool may_hedge = false;
};

// Returns the configuration as JSON. Its time limits and capacities are taken from `settings`.
[[nodiscard]] std::string to_json(const GatewayConfig& config, const OracleSettings& settings);

}  // namespace fault_soak

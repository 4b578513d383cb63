// The configuration that the platform gives a gateway, from the environment and a JSON file.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoint_list.h"
#include "gateway/interface.h"

namespace gateway::server {

struct Config {
    std::string name;  // of the gateway; unique on its machine
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint discovery;
    std::optional<boost::asio::ip::tcp::endpoint> admin_listen;  // none: no admin interface
    std::optional<boost::asio::ip::udp::endpoint> peer_listen;   // none: no peer messages
    std::optional<boost::asio::ip::udp::endpoint> all_peers;     // an address that reaches every peer
    std::vector<boost::asio::ip::udp::endpoint> peers;           // by rank
    std::uint64_t seed = 0;
    // The folder in which the processes of an upgrade find each other; empty: upgrades hand nothing over.
    std::string handover_folder;
    std::size_t sockets = 1024;   // file descriptors that the process may hold
    std::size_t memory_mb = 192;  // memory limit in MiB, beyond which the process is killed
    EndpointList initial_endpoints;
    bool lists_pushed = true;  // false: lists are polled from discovery, at a cost
    // Discovery regards changes as delivered to a gateway that has neither a watch nor a call for so long;
    // after a failed call, for four times as long. 0: not set.
    std::chrono::microseconds max_poll_interval{0};
    decision::Settings settings;
    // From the settings file, but of no concern to the decision module.
    std::chrono::microseconds connect_timeout{std::chrono::milliseconds(250)};
    std::chrono::microseconds idle_limit{std::chrono::seconds(30)};  // of a connection to a host
};

// The configuration is invalid. The message is one plain line: the key that is wrong and what was expected.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The file can't be read, which may be temporary.
struct ConfigUnreadable : ConfigError {
    using ConfigError::ConfigError;
};

// Returns the value of an environment variable, or null.
using Environment = std::function<const char*(const char* name)>;

// Reads the file that BALANCER_CONFIG names; keys that it omits are taken from the environment. Throws
// ConfigError.
[[nodiscard]] Config load_config(const Environment& environment);
// Retries a file that can't be read for a second, because at the start there is no previous configuration.
// Blocks meanwhile. Throws ConfigError.
[[nodiscard]] Config load_config_at_start(const Environment& environment);
// Parses the text of a configuration file. Throws ConfigError.
[[nodiscard]] Config parse_config(const std::string& text, const Environment& environment);

}  // namespace gateway::server

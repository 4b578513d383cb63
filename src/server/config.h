// The gateway's configuration, read from a JSON file and the environment.
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
    // The gateway's name, unique on its machine.
    std::string name;
    // The address on which the gateway serves clients.
    boost::asio::ip::tcp::endpoint listen;
    // The address at which the gateway calls discovery.
    boost::asio::ip::tcp::endpoint discovery;
    // The address of the admin interface; empty: there is none.
    std::optional<boost::asio::ip::tcp::endpoint> admin_listen;
    // The address for peer messages; empty: the gateway neither sends nor receives any.
    std::optional<boost::asio::ip::udp::endpoint> peer_listen;
    // An address that reaches every peer at once; empty: messages go to each peer separately.
    std::optional<boost::asio::ip::udp::endpoint> all_peers;
    // The peers' addresses, indexed by rank.
    std::vector<boost::asio::ip::udp::endpoint> peers;
    // The seed of the random number generators.
    std::uint64_t seed = 0;
    // The folder in which the two processes of an upgrade find each other's socket. If empty, upgrades hand
    // nothing over.
    std::string handover_folder;
    // The maximum number of file descriptors that the process may hold.
    std::size_t sockets = 1024;
    // The memory limit in MiB, beyond which the process is killed.
    std::size_t memory_mb = 192;
    // The endpoint list in use until discovery has sent one.
    EndpointList initial_endpoints;
    // Whether endpoint lists are pushed to discovery's local agent, which then answers each call at once. If
    // false, each call polls discovery for a list, at a cost: many gateways together can overload discovery.
    bool lists_pushed = true;
    // The time limit between two calls to discovery. If a gateway has had neither a watch nor a poll for this
    // long, or for four times as long after a failed call, discovery regards changes as delivered to it. 0:
    // not set.
    std::chrono::microseconds max_poll_interval{0};
    decision::Settings settings;
    // The following values are read from the settings, but the decision module does not use them.
    std::chrono::microseconds connect_timeout{std::chrono::milliseconds(250)};
    // How long a connection to a host may be idle before it is closed.
    std::chrono::microseconds host_idle_timeout{std::chrono::seconds(30)};
};

// The configuration is invalid. The message is one line that names the invalid key and the expected value.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The configuration file cannot be read, which may be a temporary condition.
struct ConfigUnreadable : ConfigError {
    using ConfigError::ConfigError;
};

// Returns the value of an environment variable, or null if it is not set.
using Environment = std::function<const char*(const char* name)>;

// Reads the file that BALANCER_CONFIG names. The name and addresses that the file omits are read from the
// environment. Throws ConfigError.
[[nodiscard]] Config load_config(const Environment& environment);
// Like `load_config`, but retries an unreadable file for up to 1 s, because at the start there is no previous
// configuration to keep. Blocks the thread meanwhile. Throws ConfigError.
[[nodiscard]] Config load_config_at_start(const Environment& environment);
// Parses the text of a configuration file. Throws ConfigError.
[[nodiscard]] Config parse_config(const std::string& text, const Environment& environment);

}  // namespace gateway::server

// The endpoint list in discovery's JSON form, which the configuration and discovery's answers share.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "json/fields.h"

namespace gateway::server {

enum class EndpointState { ready, draining, gone };

struct Endpoint {
    std::string uid;                         // the host's unique name
    boost::asio::ip::tcp::endpoint address;  // may be unset for a host that is gone
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    EndpointState state = EndpointState::ready;
    double weight = 1;         // relative capacity
    std::int64_t boot_ms = 0;  // Unix time of the latest start; 0: long ago
};

// A complete list, or the changes since an earlier version.
struct EndpointList {
    std::int64_t version = 0;
    bool complete = false;  // false: only what has changed since the earlier version
    std::vector<Endpoint> endpoints;
};

// Throws gateway::json::BadValue.
[[nodiscard]] EndpointList read_endpoint_list(gateway::json::object object);

// Parses an address and port such as "127.0.0.1:8080"; `what` names the value in the error. Instantiated for
// TCP and UDP endpoints. Throws gateway::json::BadValue.
template <class SocketAddress>
[[nodiscard]] SocketAddress read_endpoint(std::string_view text, std::string_view what);

}  // namespace gateway::server

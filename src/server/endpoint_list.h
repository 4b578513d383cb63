// The list of hosts in discovery's form, as the configuration and the watch both bring it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "json/fields.h"

namespace gateway::server {

enum class EndpointState { ready, draining, gone };

struct Endpoint {
    std::string uid;
    boost::asio::ip::tcp::endpoint address;
    std::string zone, kind;
    std::int64_t cell = 0;
    EndpointState state = EndpointState::ready;
    double weight = 1;
    std::int64_t boot_ms = 0;  // Unix time; 0: long ago
};

struct EndpointList {
    std::int64_t version = 0;
    bool whole = false;
    std::vector<Endpoint> endpoints;
};

// Throws gateway::json::BadValue.
EndpointList read_endpoint_list(gateway::json::object o);

// "127.0.0.1:8080" to its parts; `what` names the value in the error. Throws gateway::json::BadValue.
template <class SocketAddress>
SocketAddress read_endpoint(std::string_view text, std::string_view what);

}  // namespace gateway::server

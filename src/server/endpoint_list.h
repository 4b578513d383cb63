// The endpoint list in its JSON format, which discovery's answers and the configuration file share.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "json/fields.h"

namespace gateway::server {

// The state of a host as discovery reports it.
enum class EndpointState { ready, draining, gone };
// Returns the name in discovery's format and in the log.
[[nodiscard]] const char* to_string(EndpointState state);

// One host of an endpoint list.
struct Endpoint {
    std::string uid;                         // the host's unique name
    boost::asio::ip::tcp::endpoint address;  // may be unset for a host that is gone
    std::string zone;
    std::string kind;       // model of the host
    std::int64_t cell = 0;  // number of the host group that is the narrowest deduplication scope
    EndpointState state = EndpointState::ready;
    double weight = 1;         // capacity relative to other hosts
    std::int64_t boot_ms = 0;  // Unix time of the host's last start, in ms; 0: long ago
};

// A complete list, or the changes since an earlier version.
struct EndpointList {
    std::int64_t version = 0;
    bool complete = false;  // false: contains only the changes since the earlier version
    std::vector<Endpoint> endpoints;
};

// Parses an endpoint list. Throws gateway::json::BadValue if a value is missing or malformed.
[[nodiscard]] EndpointList read_endpoint_list(gateway::json::object object);

// Returns the list in the format that read_endpoint_list parses.
[[nodiscard]] std::string to_json(const EndpointList& list);

// Parses an address and port such as "127.0.0.1:8080". Instantiated for TCP and UDP endpoints. Throws
// gateway::json::BadValue, which contains `name`, if the text is malformed.
template <class SocketAddress>
[[nodiscard]] SocketAddress read_endpoint(std::string_view text, std::string_view name);

}  // namespace gateway::server

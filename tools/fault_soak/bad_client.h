// Clients that violate HTTP with incomplete requests, floods of bytes, lines without an end and bytes that
// are not a request.
#pragma once

#include <cstdint>
#include <functional>

#include "net.h"
#include "oracle.h"

namespace fault_soak {

struct BadClientOptions {
    tcp::endpoint gateway;
    // Selects the malformed request, modulo the number of variations.
    std::uint64_t variation = 0;
    // Added to time limits, because a busy machine can delay the soak itself.
    Duration slack{100};
    // Returns whether the gateway process that the client connected to still runs. Only a running process has
    // to answer or to close the connection.
    std::function<bool()> is_gateway_running;
};

// Sends a malformed request. Reports a violation if the gateway neither answers nor closes the connection in
// time.
Task run_bad_client(asio::io_context& io, BadClientOptions options, Oracle& oracle);

}  // namespace fault_soak

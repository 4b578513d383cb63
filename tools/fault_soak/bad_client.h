// Clients that violate HTTP: half requests, floods, lines without an end, bytes that are no request.
#pragma once

#include <cstdint>
#include <functional>

#include "net.h"
#include "oracle.h"

namespace fault_soak {

struct BadClientOptions {
    tcp::endpoint gateway;
    std::uint64_t variation = 0;  // which way of being bad
    Duration slack{100};          // for the machine's own lateness
    // Whether the process that was connected to still runs and owes a close.
    std::function<bool()> gateway_runs;
};

// Sends a malformed request and reports a violation where the gateway neither answers nor closes in time.
Task run_bad_client(asio::io_context& io, BadClientOptions options, Oracle& oracle);

}  // namespace fault_soak

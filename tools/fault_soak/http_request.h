// Sends single HTTP requests, each over a new connection, as operators and load balancers do.
#pragma once

#include <string>

#include "net.h"

namespace fault_soak {

// The status and body of a response.
struct HttpResult {
    // HTTP status, or 0 if there was no response.
    unsigned code = 0;
    std::string body;
};

// Sends the bytes of `request`. The result has code 0 if no response arrives within `timeout`.
[[nodiscard]] asio::awaitable<HttpResult> send_http_request(asio::io_context& io, tcp::endpoint server,
                                                            std::string request, Duration timeout);

}  // namespace fault_soak

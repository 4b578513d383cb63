// One HTTP request on a connection of its own, as operators and load balancers send them.
#pragma once

#include <string>

#include "net.h"

namespace fault_soak {

struct HttpResult {
    unsigned code = 0;  // 0: no response
    std::string body;
};

// `request`: its bytes. No response within `timeout` counts as none.
[[nodiscard]] asio::awaitable<HttpResult> send_http_request(asio::io_context& io, tcp::endpoint server,
                                                            std::string request, Duration timeout);

}  // namespace fault_soak

#include "bad_client.h"

#include <array>
#include <cstddef>
#include <string>

#include "text.h"
#include "watchdog.h"

namespace fault_soak {
namespace {

// The gateway must answer a malformed request or close its connection within `close_timeout`. A violation is
// reported only after a further `close_margin`.
constexpr Duration close_timeout = 3s;
constexpr Duration close_margin = 100ms;
constexpr std::size_t flood_bytes = std::size_t{4} << 20;
constexpr std::size_t endless_line_bytes = 200'000;
constexpr std::uint64_t variations = 7;

std::string malformed_request(std::uint64_t variation) {
    const std::string chunked = "POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    switch (variation % variations) {
        case 0:
            return {};
        case 1:
            return "\x16\x03\x01 this is no request\r\n\r\n";
        case 2:
            return "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: ";
        case 3:
            return "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nhalf";
        case 4:
            return chunked + "1;" + std::string(endless_line_bytes, '1');
        case 5:
            return chunked + "0\r\nX-Trailer: " + std::string(endless_line_bytes, '1');
        default:
            return std::string(flood_bytes, 'x');
    }
}

}  // namespace

Task run_bad_client(asio::io_context& io, BadClientOptions options, Oracle& oracle) {
    tcp::socket socket(io);
    error_code error;
    co_await socket.async_connect(options.gateway, into(error));
    if (error) co_return;
    const Time begin = Clock::now();
    const std::string request = malformed_request(options.variation);
    Watchdog watchdog(io, socket, begin + close_timeout + options.slack + close_margin);
    // A write error is no violation: the gateway may close the connection before it has read the whole
    // request.
    co_await asio::async_write(socket, asio::buffer(request), into(error));
    std::array<char, 512> bytes;
    if (!watchdog.fired()) co_await socket.async_read_some(asio::buffer(bytes), into(error));
    if (watchdog.fired() && options.is_gateway_running())
        oracle.report(Invariant::bad_client_closed, "",
                      concat("no response and no close after a malformed request (variation ",
                             options.variation % variations, ")"),
                      Clock::now());
}

}  // namespace fault_soak

// Network types and helper functions that the parts of the soak share. All sockets are on loopback.
#pragma once

#include <utility>
// <utility> stands in a block of its own, before Boost.Asio: this version needs it but does not include it.
// clang-format off
#include <boost/asio.hpp>
// clang-format on
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "clock.h"

namespace fault_soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Task = asio::awaitable<void>;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Returns a completion token for coroutines that stores the error code in `error` instead of throwing.
inline auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Returns a loopback address whose port the system chooses at bind.
[[nodiscard]] inline tcp::endpoint any_port() { return {asio::ip::address_v4::loopback(), 0}; }

// Returns the address and port as in "127.0.0.1:8080".
[[nodiscard]] inline std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

inline Task sleep_for(asio::io_context& io, Clock::duration duration) {
    asio::steady_timer timer(io, duration);
    error_code ignored;
    co_await timer.async_wait(into(ignored));
}

// Closes the socket with a TCP reset instead of an orderly shutdown.
inline void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}  // namespace fault_soak

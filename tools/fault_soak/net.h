// What the soak's parts share of the network.
#pragma once

#include <utility>
// In a block of its own, as this version of Boost.Asio misses <utility>.
// clang-format off
#include <boost/asio.hpp>
// clang-format on
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "time.h"

namespace fault_soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Task = asio::awaitable<void>;
using HttpRequest = http::request<http::string_body>;
using HttpAnswer = http::response<http::string_body>;

// A completion that tells an error by a code, not by an exception.
inline auto into(error_code& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

inline tcp::endpoint any_port() { return {asio::ip::address_v4::loopback(), 0}; }
inline std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

inline Task pause(asio::io_context& io, Clock::duration span) {
    asio::steady_timer timer(io, span);
    error_code ec;
    co_await timer.async_wait(into(ec));
}

inline void reset(tcp::socket& socket) {
    error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

}  // namespace fault_soak

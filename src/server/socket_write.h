// Non-blocking writes to a stream socket.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace gateway::server {

// Whether a non-blocking operation failed only because it would block.
[[nodiscard]] inline bool is_would_block(const boost::system::error_code& ec) {
    return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

// Writes as much of `bytes` as the socket accepts without blocking and returns the number of bytes written.
// Sets `ec` if the connection has failed, but not if the socket's buffer is full. Requires a socket in
// non-blocking mode.
//
// Continues after a short write until everything is written or the system reports that it would block. A
// short write does not mean that the buffer is full: the system may accept only a part for other reasons, and
// an edge-triggered wait for space would then never complete.
template <class Socket>
std::size_t write_available(Socket& socket, std::string_view bytes, boost::system::error_code& ec) {
    std::size_t written = 0;
    ec = {};
    while (written < bytes.size()) {
        const std::string_view rest = bytes.substr(written);
        written += socket.write_some(boost::asio::buffer(rest.data(), rest.size()), ec);
        if (!ec) continue;
        if (is_would_block(ec)) ec = {};
        break;
    }
    return written;
}

}  // namespace gateway::server

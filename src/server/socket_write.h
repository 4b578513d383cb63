// Writes to a stream socket that does not block.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace gateway::server {

// Writes as much of `bytes` as the socket takes now; returns how many bytes that was. `ec` is set where the
// connection is broken, not where the socket is full.
//
// A short write does not mean that the socket is full: the system may take a part for other reasons, and an
// edge-triggered wait for room would then never end. So this goes on until all is written or the system says
// that it would block. The socket has to be in non-blocking mode.
template <class Socket>
std::size_t write_available(Socket& socket, std::string_view bytes, boost::system::error_code& ec) {
    std::size_t written = 0;
    ec = {};
    while (written < bytes.size()) {
        const std::string_view rest = bytes.substr(written);
        written += socket.write_some(boost::asio::buffer(rest.data(), rest.size()), ec);
        if (!ec) continue;
        if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) ec = {};
        break;
    }
    return written;
}

}  // namespace gateway::server

// Queries of the state of a TCP connection.
#pragma once

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "socket_write.h"

namespace gateway::server {

// Whether the peer's machine has acknowledged all bytes that were written to the TCP socket. Returns false if
// the system can't tell.
[[nodiscard]] inline bool is_output_acknowledged(boost::asio::ip::tcp::socket& socket) {
    int unacknowledged_bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes == 0;
}

// Whether the peer has closed the connection, at least for sending, also if unread bytes precede the end of
// the stream. Requires a socket in non-blocking mode.
[[nodiscard]] inline bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code ec;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, ec);
    if (is_would_block(ec) || ec == boost::asio::error::interrupted) return false;
    if (ec) return true;
    pollfd connection{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&connection, 1, 0) > 0;
}

}  // namespace gateway::server

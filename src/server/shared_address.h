// The socket option SO_REUSEPORT, which lets the two processes of an upgrade bind the same address.
#pragma once

#include <sys/socket.h>

#include <boost/asio/detail/socket_option.hpp>

namespace gateway::server {
// An argument for `set_option` of Asio's sockets, which do not provide this option.
using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
}  // namespace gateway::server

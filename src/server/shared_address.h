// SO_REUSEPORT, with which two processes can bind the same address during an upgrade.
#pragma once

#include <sys/socket.h>

#include <boost/asio/detail/socket_option.hpp>

namespace gateway::server {
// For `set_option` of Asio's sockets, which offer no such option themselves.
using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
}  // namespace gateway::server

// The socket option by which two processes can listen at one address.
#pragma once

#include <sys/socket.h>

#include <boost/asio/detail/socket_option.hpp>

namespace gateway::server {
using reuse_port = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
}  // namespace gateway::server

#include "bind_retry.h"

#include <boost/asio/error.hpp>
#include <cerrno>

namespace gateway::server {

bool is_transient_shortage(const boost::system::error_code& error) {
    return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_buffer_space ||
           error == boost::asio::error::no_memory ||
           error == boost::system::error_code(ENFILE, boost::system::system_category());
}

}  // namespace gateway::server

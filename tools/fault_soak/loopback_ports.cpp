#include "loopback_ports.h"

#include <unistd.h>

#include <stdexcept>

#include "net.h"

namespace fault_soak {
namespace {

constexpr int first_port = 20000;
constexpr int range_count = 50;
constexpr int ports_per_range = 240;

bool is_free(std::uint16_t port) {
    asio::io_context io;
    const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();
    error_code tcp_error;
    error_code udp_error;
    tcp::acceptor listener(io);
    listener.open(tcp::v4());
    listener.bind({loopback, port}, tcp_error);
    asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
    datagrams.bind({loopback, port}, udp_error);
    return !tcp_error && !udp_error;
}

}  // namespace

LoopbackPorts::LoopbackPorts()
    : last_(static_cast<std::uint16_t>(first_port + ::getpid() % range_count * ports_per_range)) {}

std::uint16_t LoopbackPorts::allocate() {
    for (int tries = 0; tries < ports_per_range; ++tries) {
        ++last_;
        if (is_free(last_)) return last_;
    }
    throw std::runtime_error("no free loopback port in the port range of this process");
}

}  // namespace fault_soak

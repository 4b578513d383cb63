// A loopback address at which connection attempts hang.
#pragma once

#include <cstdint>
#include <vector>

#include "net.h"

namespace fault_soak {

// A listening socket that never accepts and whose backlog is full, so that the kernel drops further SYN
// packets.
class BlackHole {
  public:
    explicit BlackHole(asio::io_context& io) : listener_(io) {
        constexpr int fillers = 4;
        listener_.open(tcp::v4());
        listener_.bind(any_port());
        listener_.listen(0);
        for (int i = 0; i < fillers; ++i) {
            fillers_.emplace_back(io);
            fillers_.back().async_connect(listener_.local_endpoint(), [](error_code) {});
        }
    }

    // Returns the loopback port of the listening socket.
    [[nodiscard]] std::uint16_t port() const { return listener_.local_endpoint().port(); }

  private:
    tcp::acceptor listener_;
    // Connections that fill the backlog.
    std::vector<tcp::socket> fillers_;
};

}  // namespace fault_soak

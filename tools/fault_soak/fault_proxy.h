// A TCP proxy between gateways and hosts, with an address for each pair, whose links can be cut, reset or
// delayed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net.h"

namespace fault_soak {

struct LinkFaults {
    bool silent = false;  // carries nothing; connections with held-up bytes are reset when this ends
    Duration delay{0};    // of the first bytes of new connections
};

class FaultProxy {
  public:
    // Where a connection to a host comes from.
    struct Origin {
        int gateway = -1;
        Time first_byte;  // of the latest request
    };

    FaultProxy(asio::io_context& io, int gateways, std::vector<tcp::endpoint> hosts);

    // The addresses at which one gateway reaches the hosts, in their order.
    [[nodiscard]] std::vector<std::string> addresses_for(int gateway) const;
    [[nodiscard]] LinkFaults& faults(int gateway, int host) { return link(gateway, host).faults; }
    void reset_connections(int gateway, int host);
    // Of the connection that comes to a host from that port; null where it does not come from this proxy.
    // Valid as long as the connection is open.
    [[nodiscard]] const Origin* origin(std::uint16_t port) const;

  private:
    // One connection of a gateway and the one to the host behind it.
    struct Pipe {
        explicit Pipe(asio::io_context& io, tcp::socket&& accepted)
            : gateway(std::move(accepted)), host(io) {}
        tcp::socket gateway;
        tcp::socket host;
        Origin origin;
        bool awaits_request = true;
        void close();
        void reset_both();
    };
    struct Link {
        Link(asio::io_context& io, int from, tcp::endpoint to)
            : listener(io, any_port()), gateway(from), host(to) {}
        tcp::acceptor listener;
        int gateway;
        tcp::endpoint host;
        LinkFaults faults;
        std::vector<std::weak_ptr<Pipe>> pipes;
    };
    enum class Direction { to_host, to_gateway };

    [[nodiscard]] Link& link(int gateway, int host) {
        return *links_[static_cast<std::size_t>(gateway) * host_count_ + static_cast<std::size_t>(host)];
    }
    Task accept(Link& link);
    // Connects to the host and carries bytes both ways until the connection ends.
    Task run_pipe(Link& link, std::shared_ptr<Pipe> pipe);
    Task delay_first_bytes(std::shared_ptr<Pipe> pipe, Duration delay);
    Task carry(Link& link, std::shared_ptr<Pipe> pipe, Direction direction);

    asio::io_context& io_;
    std::size_t host_count_;
    std::vector<std::unique_ptr<Link>> links_;            // by gateway, then by host
    std::map<std::uint16_t, std::weak_ptr<Pipe>> pipes_;  // by the port towards the host
};

}  // namespace fault_soak

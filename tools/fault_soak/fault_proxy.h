// A TCP proxy between gateways and hosts. Each pair of a gateway and a host is a link with an address of its
// own; links can be cut, reset or delayed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net.h"

namespace fault_soak {

// The faults of a link that are active now.
struct LinkFaults {
    // The link forwards nothing. Connections on which bytes or a close arrived meanwhile are reset when the
    // fault ends.
    bool silent = false;
    // Delay of the first bytes of each new connection.
    Duration delay{0};
};

class FaultProxy {
  public:
    // The gateway that opened a connection to a host, and the start of its latest request.
    struct Origin {
        int gateway = -1;
        // Time of the first byte of the latest request.
        Time first_byte_at;
        // Becomes true when a fault of the link breaks the connection. Outlives the connection.
        std::shared_ptr<bool> broken_by_fault = std::make_shared<bool>(false);
    };

    FaultProxy(asio::io_context& io, int gateways, std::vector<tcp::endpoint> hosts);

    // Returns the addresses at which one gateway reaches the hosts, in the order of the hosts.
    [[nodiscard]] std::vector<std::string> addresses_for(int gateway) const;
    [[nodiscard]] LinkFaults& faults(int gateway, int host) { return link(gateway, host).faults; }
    // Resets all open connections of a link.
    void reset_connections(int gateway, int host);
    // Returns the origin of the connection that reaches a host from the given source port, or null if the
    // connection does not come from this proxy. The pointer is valid while the connection is open.
    [[nodiscard]] const Origin* origin(std::uint16_t port) const;

  private:
    // A connection from a gateway and the matching connection to the host.
    struct Pipe {
        explicit Pipe(asio::io_context& io, tcp::socket&& accepted)
            : gateway(std::move(accepted)), host(io) {}
        tcp::socket gateway;
        tcp::socket host;
        Origin origin;
        // Whether the next bytes from the gateway begin a request.
        bool awaits_request = true;
        void close();
        void reset_both();
        // Resets both connections as a fault of the link.
        void break_by_fault();
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
    // Connects to the host and forwards bytes in both directions until the connection ends.
    Task run_pipe(Link& link, std::shared_ptr<Pipe> pipe);
    Task delay_first_bytes(std::shared_ptr<Pipe> pipe, Duration delay);
    Task forward(Link& link, std::shared_ptr<Pipe> pipe, Direction direction);

    asio::io_context& io_;
    std::size_t host_count_;
    // Ordered by gateway, then by host.
    std::vector<std::unique_ptr<Link>> links_;
    // Keyed by the source port of the connection to the host.
    std::map<std::uint16_t, std::weak_ptr<Pipe>> pipes_;
};

}  // namespace fault_soak

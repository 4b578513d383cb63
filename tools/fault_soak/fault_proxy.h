// A proxy between gateways and hosts, with an address for each pair, whose links can be cut, reset or made
// late.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net.h"

namespace fault_soak {

struct LinkFaults {
    bool silent = false;  // nothing is carried; what was held up meanwhile is reset at the end
    Span late{0};         // what goes over a new connection is held up so long
};

class FaultProxy {
  public:
    // What a host can tell of a connection.
    struct Origin {
        int gateway = -1;
        Time first_byte;  // of the request that came last
    };

    FaultProxy(asio::io_context& io, int gateways, std::vector<tcp::endpoint> hosts);
    std::vector<std::string> addresses_for(int gateway) const;
    LinkFaults& link(int gateway, int host) { return at(gateway, host).faults; }
    void reset_connections(int gateway, int host);
    // Of the connection that comes to a host from that port; none: it does not come from here.
    const Origin* origin(std::uint16_t port) const;

  private:
    struct Pipe {
        explicit Pipe(asio::io_context& io, tcp::socket&& from) : gateway(std::move(from)), host(io) {}
        tcp::socket gateway, host;
        Origin origin;
        bool awaits_request = true;
        void close();
        void cut();
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
    Link& at(int gateway, int host) {
        return *links_[static_cast<std::size_t>(gateway) * hosts_ + static_cast<std::size_t>(host)];
    }
    Task accept(Link& link);
    Task open(Link& link, std::shared_ptr<Pipe> pipe);
    Task carry(Link& link, std::shared_ptr<Pipe> pipe, tcp::socket& from, tcp::socket& to, bool requests);

    asio::io_context& io_;
    std::size_t hosts_;
    std::vector<std::unique_ptr<Link>> links_;
    std::map<std::uint16_t, std::weak_ptr<Pipe>> by_port_;
};

}  // namespace fault_soak

// The sockets on which the gateway serves: the listening socket for clients and the datagram socket for
// peers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "client_server.h"
#include "config.h"
#include "handover.h"
#include "peer_link.h"
#include "socket_budget.h"

namespace gateway::server {

// Owns both sockets from `open` on. That may be long after the start of the process: during an upgrade, the
// predecessor serves until it hands over.
class Listeners {
  public:
    struct Callbacks {
        ClientServer::Callbacks clients;
        PeerLink::OnMessage on_peer_message;
    };
    // `config` and `budget` must outlive the listeners.
    Listeners(boost::asio::io_context& io, const Config& config, SocketBudget& budget, Callbacks callbacks);

    // Opens the peer socket, then the client listener. Uses the given descriptors of a predecessor, and binds
    // the configured address for each one that is empty. Throws ConfigError if an address cannot be bound.
    void open(Descriptor&& client_listener, Descriptor&& peer_socket);
    // Lets requests of clients be processed from now on, or from `open` on if that is later.
    void start_accepting();
    // Whether requests of clients are processed.
    [[nodiscard]] bool accepting() const noexcept { return clients_ && may_accept_; }
    // On standby, clients' health checks fail and responses close their connections.
    void set_standby(bool standby);
    [[nodiscard]] bool standby() const noexcept { return standby_; }

    // Returns null before `open`.
    [[nodiscard]] ClientServer* clients() const noexcept { return clients_.get(); }
    // Returns null before `open`, or if there are no peers.
    [[nodiscard]] PeerLink* peers() const noexcept { return peers_.get(); }

  private:
    [[nodiscard]] std::unique_ptr<PeerLink> open_peer_link(Descriptor& socket) const;

    boost::asio::io_context& io_;
    const Config& config_;
    SocketBudget& budget_;
    Callbacks callbacks_;
    bool may_accept_ = false;
    bool standby_ = false;
    std::unique_ptr<PeerLink> peers_;
    std::unique_ptr<ClientServer> clients_;
};

}  // namespace gateway::server

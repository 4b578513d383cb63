// The sockets on which the gateway serves: the clients' listener and the peers' datagram socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "client_server.h"
#include "config.h"
#include "handover.h"
#include "peer_link.h"
#include "socket_budget.h"

namespace gateway::server {

// Owns both from the moment they are opened, which may be long after the start: during an upgrade the
// previous process serves until it hands over.
class Listeners {
  public:
    struct Callbacks {
        ClientServer::Callbacks clients;
        PeerLink::OnMessage on_peer_message;
    };
    // `config` and `budget` must outlive the listeners.
    Listeners(boost::asio::io_context& io, const Config& config, SocketBudget& budget, Callbacks callbacks);

    // Opens the peers' socket, then the clients'. Uses the descriptors of a previous process where they are
    // given, and binds the configured addresses otherwise. Throws ConfigError if one can't be bound.
    void open(Descriptor&& client_listener, Descriptor&& peer_socket);
    // Clients are accepted from now on, or from `open` on.
    void start_accepting();
    [[nodiscard]] bool accepting() const noexcept { return clients_ && may_accept_; }
    // Standby: health checks fail and answers end their connections.
    void set_standby(bool standby);
    [[nodiscard]] bool standby() const noexcept { return standby_; }

    // Null until `open`.
    [[nodiscard]] ClientServer* clients() const noexcept { return clients_.get(); }
    // Null until `open`, and without peers.
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

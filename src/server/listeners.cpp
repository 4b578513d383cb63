#include "listeners.h"

#include <utility>

#include "bind_retry.h"

namespace gateway::server {
namespace {
constexpr std::size_t bytes_per_mib = 1024 * 1024;
// The limit for client request bodies is the memory limit divided by this number, because a body is held in
// its request and, for a while, also in the serialized message to its host.
constexpr std::size_t body_memory_divisor = 8;
}  // namespace

Listeners::Listeners(boost::asio::io_context& io, const Config& config, SocketBudget& budget,
                     Callbacks callbacks)
    : io_(io), config_(config), budget_(budget), callbacks_(std::move(callbacks)) {}

void Listeners::open(Descriptor&& client_listener, Descriptor&& peer_socket) {
    if (config_.peer_listen && config_.settings.may_message_peers)
        peers_ = bind_with_retry("peer_listen", [&] { return open_peer_link(peer_socket); });
    clients_ = bind_with_retry("listen", [&] {
        return std::make_unique<ClientServer>(io_, config_.listen, budget_,
                                              config_.memory_mb * bytes_per_mib / body_memory_divisor,
                                              callbacks_.clients, std::move(client_listener));
    });
    clients_->set_standby(standby_);
    if (may_accept_) clients_->accept_requests();
}

std::unique_ptr<PeerLink> Listeners::open_peer_link(Descriptor& socket) const {
    const PeerLink::Endpoint& address = *config_.peer_listen;
    const int own_rank = config_.settings.rank;
    if (socket)
        return std::make_unique<PeerLink>(io_, address, socket.release(), config_.peers, config_.all_peers,
                                          own_rank, callbacks_.on_peer_message);
    return std::make_unique<PeerLink>(io_, address, config_.peers, config_.all_peers, own_rank,
                                      callbacks_.on_peer_message);
}

void Listeners::start_accepting() {
    may_accept_ = true;
    if (clients_) clients_->accept_requests();
}

void Listeners::set_standby(bool standby) {
    standby_ = standby;
    if (clients_) clients_->set_standby(standby);
}

}  // namespace gateway::server

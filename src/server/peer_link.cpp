#include "peer_link.h"

#include <algorithm>

#include "shared_address.h"

namespace gateway::server {
namespace {
// Another process may be given the address as well: one that finds this one silent binds by itself.
int bound_to(const PeerLink::Endpoint& listen) {
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, listen.protocol());
    socket.set_option(reuse_port(true));
    socket.bind(listen);
    return socket.release();
}
}  // namespace

using boost::system::error_code;

PeerLink::PeerLink(boost::asio::io_context& io, const Endpoint& listen, std::vector<Endpoint> peers,
                   std::optional<Endpoint> everyone, int own_rank, OnMessage on_message)
    : PeerLink(io, listen, bound_to(listen), std::move(peers), std::move(everyone), own_rank,
               std::move(on_message)) {}

PeerLink::PeerLink(boost::asio::io_context& io, const Endpoint& listen, int socket,
                   std::vector<Endpoint> peers, std::optional<Endpoint> everyone, int own_rank,
                   OnMessage on_message)
    : socket_(io, listen.protocol(), socket),
      peers_(std::move(peers)),
      everyone_(std::move(everyone)),
      own_rank_(own_rank),
      on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
    for (std::size_t rank = 0; rank < peers_.size(); ++rank)
        rank_of_.emplace(peers_[rank], static_cast<int>(rank));
    this->listen(true);
}

void PeerLink::listen(bool on) {
    if (std::exchange(listening_, on) == on) return;
    if (on) receive();
    else socket_.cancel();
}

void PeerLink::send(int to, std::string_view bytes) {
    if (bytes.size() > most_bytes) return;
    // What the kernel can't take now is lost, as any datagram may be.
    const auto post = [&](const Endpoint& where) {
        error_code lost;
        socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), where, 0, lost);
    };
    if (to >= 0) {
        if (to < static_cast<int>(peers_.size())) post(peers_[static_cast<std::size_t>(to)]);
        return;
    }
    if (everyone_) return post(*everyone_);
    for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank)
        if (rank != own_rank_) post(peers_[static_cast<std::size_t>(rank)]);
}

void PeerLink::receive() {
    // Waits first and reads then: a datagram is not taken off a socket that has been handed over meanwhile.
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read, [this](error_code ec) {
        if (ec == boost::asio::error::operation_aborted || !listening_) return;
        std::size_t n = 0;
        if (!ec) n = socket_.receive_from(boost::asio::buffer(buffer_), sender_, 0, ec);
        // An error is an earlier datagram's that found nobody there. Strangers and what is too long are
        // dropped.
        if (!ec && n <= most_bytes) {
            const auto from = rank_of_.find(sender_);
            if (from != rank_of_.end() && from->second != own_rank_)
                on_message_(from->second, {buffer_.data(), n});
        }
        receive();
    });
}

}  // namespace gateway::server

#include "peer_link.h"

#include <algorithm>

#include "shared_address.h"

namespace gateway::server {
namespace {
// Returns a socket that is bound to the address. Sets SO_REUSEPORT, so that during an upgrade the successor
// can bind the same address itself if it gets no answer from this process and so does not receive the socket.
int bind_socket(const PeerLink::Endpoint& listen) {
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, listen.protocol());
    socket.set_option(ReusePort(true));
    socket.bind(listen);
    return socket.release();
}
}  // namespace

using boost::system::error_code;

PeerLink::PeerLink(boost::asio::io_context& io, const Endpoint& listen, std::vector<Endpoint> peers,
                   std::optional<Endpoint> all_peers, int own_rank, OnMessage on_message)
    : PeerLink(io, listen, bind_socket(listen), std::move(peers), std::move(all_peers), own_rank,
               std::move(on_message)) {}

PeerLink::PeerLink(boost::asio::io_context& io, const Endpoint& listen, int socket,
                   std::vector<Endpoint> peers, std::optional<Endpoint> all_peers, int own_rank,
                   OnMessage on_message)
    : socket_(io, listen.protocol(), socket),
      peers_(std::move(peers)),
      all_peers_(std::move(all_peers)),
      own_rank_(own_rank),
      on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
    for (std::size_t rank = 0; rank < peers_.size(); ++rank)
        rank_by_address_.emplace(peers_[rank], static_cast<int>(rank));
    this->listen(true);
}

void PeerLink::listen(bool enabled) {
    if (std::exchange(listening_, enabled) == enabled) return;
    if (enabled) receive();
    else socket_.cancel();
}

void PeerLink::send(int to, std::string_view bytes) {
    if (bytes.size() > max_message_bytes) return;
    if (to >= 0) {
        if (to < static_cast<int>(peers_.size())) send_to(peers_[static_cast<std::size_t>(to)], bytes);
        return;
    }
    if (all_peers_) return send_to(*all_peers_, bytes);
    for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank)
        if (rank != own_rank_) send_to(peers_[static_cast<std::size_t>(rank)], bytes);
}

// Sends a datagram. A datagram that the kernel can't accept now is lost, as any datagram may be.
void PeerLink::send_to(const Endpoint& address, std::string_view bytes) {
    error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), address, 0, ignored);
}

void PeerLink::receive() {
    // Waits until the socket is readable and then reads synchronously, so that no datagram is read from a
    // socket that was handed over to another process in the meantime.
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read, [this](error_code ec) {
        if (ec == boost::asio::error::operation_aborted || !listening_) return;
        std::size_t size = 0;
        if (!ec) size = socket_.receive_from(boost::asio::buffer(buffer_), sender_, 0, ec);
        // An error reports that an earlier datagram could not be delivered, and is ignored. Datagrams from
        // unknown senders and datagrams that are too long are dropped.
        if (!ec && size <= max_message_bytes) {
            const auto from = rank_by_address_.find(sender_);
            if (from != rank_by_address_.end() && from->second != own_rank_)
                on_message_(from->second, {buffer_.data(), size});
        }
        receive();
    });
}

}  // namespace gateway::server

// Sends and receives peer messages, the datagrams between the gateways of the fleet.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::server {

// The UDP socket for peer messages. Delivery is not guaranteed. Messages from unknown senders are dropped.
class PeerLink {
  public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    // `from`: the sender's rank. `bytes`: the message, valid only during the call.
    using OnMessage = std::function<void(int from, std::string_view bytes)>;

    // `peers`: the addresses of all gateways by rank, including this one. `all_peers`: an address that
    // reaches every peer; without it, a message to all peers is sent to each of them. Throws
    // boost::system::system_error if `listen` can't be bound.
    PeerLink(boost::asio::io_context& io, const Endpoint& listen, std::vector<Endpoint> peers,
             std::optional<Endpoint> all_peers, int own_rank, OnMessage on_message);
    // The same with a socket that is already bound. Takes ownership of the socket.
    PeerLink(boost::asio::io_context& io, const Endpoint& listen, int socket, std::vector<Endpoint> peers,
             std::optional<Endpoint> all_peers, int own_rank, OnMessage on_message);
    // Starts or stops receiving. While receiving is stopped, messages stay in the socket's buffer, where
    // another process that shares the socket can read them.
    void listen(bool enabled);
    [[nodiscard]] int native_handle() { return socket_.native_handle(); }
    // Sends a message to the peer with the rank `to`, or to all peers if `to` is below 0. Drops messages of
    // more than 256 bytes.
    void send(int to, std::string_view bytes);
    [[nodiscard]] Endpoint local_endpoint() const { return socket_.local_endpoint(); }

  private:
    static constexpr std::size_t max_message_bytes = 256;

    void send_to(const Endpoint& address, std::string_view bytes);
    void receive();

    bool listening_ = false;
    boost::asio::ip::udp::socket socket_;
    std::vector<Endpoint> peers_;
    std::map<Endpoint, int> rank_by_address_;
    std::optional<Endpoint> all_peers_;
    int own_rank_;
    OnMessage on_message_;
    Endpoint sender_;  // sender of the message in the buffer
    // One byte longer than the longest message, so that longer messages are detected.
    std::array<char, max_message_bytes + 1> buffer_{};
};

}  // namespace gateway::server

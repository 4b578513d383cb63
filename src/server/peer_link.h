// Peer messages: datagrams between the gateways of the fleet.
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

// Sends and receives peer messages. Delivery is not guaranteed; messages of unknown senders are dropped.
class PeerLink {
  public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    // `from`: the sender's rank. `bytes` is valid during the call only.
    using OnMessage = std::function<void(int from, std::string_view bytes)>;

    // `peers`: by rank, including this gateway. `all_peers`: an address that reaches every peer; none: a
    // message to all is sent to each of them. Throws boost::system::system_error if the address can't be
    // bound.
    PeerLink(boost::asio::io_context& io, const Endpoint& listen, std::vector<Endpoint> peers,
             std::optional<Endpoint> all_peers, int own_rank, OnMessage on_message);
    // The same on a bound socket, of which it takes the ownership.
    PeerLink(boost::asio::io_context& io, const Endpoint& listen, int socket, std::vector<Endpoint> peers,
             std::optional<Endpoint> all_peers, int own_rank, OnMessage on_message);
    // Starts or stops to receive. Messages that arrive meanwhile stay in the socket, for another process that
    // shares it.
    void listen(bool enabled);
    [[nodiscard]] int native_handle() { return socket_.native_handle(); }
    // Sends to one peer by rank, or below 0 to all. A message of more than 256 bytes is dropped.
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
    Endpoint sender_;  // of the message in the buffer
    // One byte longer than a message may be, to recognise those that are too long.
    std::array<char, max_message_bytes + 1> buffer_{};
};

}  // namespace gateway::server

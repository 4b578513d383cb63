// The HTTP server for clients: accepts connections, passes their requests on and writes one response to each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "byte_budget.h"
#include "client_connection.h"
#include "client_connection_set.h"
#include "client_listener.h"
#include "client_request.h"
#include "handover.h"
#include "http.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

// Serves the clients at one address. The owner has to respond exactly once to each request that it receives,
// with a complete or a streamed response.
class ClientServer final : private ClientConnectionOwner {
  public:
    struct Callbacks {
        std::function<void(ClientRequest&&)> on_request;
        // The connection closed before the request was answered.
        std::function<void(std::uint64_t id)> on_disconnected;
        // Whether the health endpoint, /_health, reports success.
        std::function<bool()> ready;
        // All pieces of a streamed response so far have been written, so the next one can be sent.
        std::function<void(std::uint64_t id)> on_piece_written = {};
        // A connection closed. `request`: the id of its request in flight; 0: none. Called before
        // `on_disconnected`.
        std::function<void(ClientCloseReason cause, std::uint64_t request)> on_closed = {};
    };

    // Receives a connection that is between two requests, the bytes that were read of its next request, and
    // whether that request is the first on the connection.
    using HandOverConnection = std::function<void(Descriptor&&, std::string&& unread, bool first_request)>;

    // `max_body_bytes`: the limit for the bodies of all requests in memory together. `listener`: a listening
    // socket inherited from another process; if empty, the constructor binds one. Throws
    // boost::system::system_error if the address cannot be bound.
    ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 SocketBudget& budget, std::size_t max_body_bytes, Callbacks callbacks,
                 Descriptor&& listener = {});
    ~ClientServer();
    ClientServer(const ClientServer&) = delete;
    ClientServer& operator=(const ClientServer&) = delete;

    // Writes a complete response. Has no effect if the request has been answered or its client has
    // disconnected.
    void answer(std::uint64_t id, Answer&& answer);
    // Writes the response to a rejected request. The next request on its connection is parsed after a pause.
    void reject(std::uint64_t id, Answer&& answer);

    // Streams a response. Each further piece has to wait for `on_piece_written`, except for the last one.
    void begin_response(std::uint64_t id, Answer&& first);
    void send_piece(std::uint64_t id, std::string&& piece);
    void end_response(std::uint64_t id, std::string&& last);
    // Ends a streamed response that cannot be completed: closes the connection so that the client notices it.
    void abort_response(std::uint64_t id);

    // Starts to parse requests. Connections are accepted before this call, and the time until their requests
    // expire already runs.
    void accept_requests();
    // Starts a graceful shutdown: the health endpoint reports failure, responses close their connections, and
    // idle connections are closed.
    void drain();
    // Starts or ends standby. On standby, the server behaves as after `drain`.
    void set_standby(bool enabled);
    [[nodiscard]] bool on_standby() const { return standby_; }

    // Returns a duplicate of the listening socket for another process.
    [[nodiscard]] Descriptor share_listener() const { return listener_.share(); }
    // Hands each connection over to another process as soon as it is between two requests, and accepts no new
    // connections.
    void hand_over(HandOverConnection hand_over_connection);
    // Ends the handover of connections, because nobody takes them any more, and closes each once it is idle.
    void end_hand_over();
    // Ends the handover of connections and accepts new connections again.
    void cancel_hand_over();
    // Takes over a connection from another process, or closes it if the socket budget has no slot for it.
    void adopt(Descriptor&& socket, std::string_view unread, bool first_request);
    // The number of connections with a request in flight, which cannot be handed over yet.
    [[nodiscard]] std::size_t connections_in_flight() const { return requests_in_flight_.size(); }
    // Accepts the connections in the backlog, because a client whose connection the kernel has accepted
    // expects an answer. Returns whether any was accepted or is left.
    [[nodiscard]] bool accept_backlog() { return listener_.accept_backlog(); }
    // Accepts the connections in the backlog, then no further ones.
    void stop_listening() { listener_.close(); }
    // Whether no connection has a request in flight, a partly read or unread request, or a partly written
    // response.
    [[nodiscard]] bool is_idle() const { return !connections_.any_busy(); }
    // Whether any response has been written in part only, because its client reads slowly or its host still
    // sends it.
    [[nodiscard]] bool is_writing_responses() const { return connections_.any_writing(); }
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return listener_.local_endpoint(); }

  private:
    using ConnectionPointer = std::shared_ptr<ClientConnection>;

    bool accepts_requests() const override { return open_; }
    bool draining() const override;
    bool healthy() const override { return callbacks_.ready(); }
    bool handing_over() const override { return static_cast<bool>(hand_over_connection_); }
    void on_handed_over(Descriptor&& socket, std::string&& unread, bool first_request) override;
    std::uint64_t next_request_id() override { return next_request_id_++; }
    void on_request(ClientConnection& connection, ClientRequest&& request) override;
    void on_pieces_written(std::uint64_t request) override;
    void on_request_abandoned(std::uint64_t request) override;
    void on_closed(ClientCloseReason reason, std::uint64_t connection, std::uint64_t request) override;

    void on_connection(boost::asio::ip::tcp::socket&& socket, SocketBudget::Slot&& slot,
                       Steady::time_point connected_at);
    [[nodiscard]] ConnectionPointer make_connection(boost::asio::ip::tcp::socket&& socket,
                                                    SocketBudget::Slot&& slot,
                                                    Steady::time_point connected_at);
    // Returns the connection of a request in flight, or null.
    [[nodiscard]] ConnectionPointer find_in_flight(std::uint64_t id) const;
    // Returns the connection of a request in flight, or null, and removes the request from those in flight.
    [[nodiscard]] ConnectionPointer take_in_flight(std::uint64_t id);
    void check_timeouts();

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    Callbacks callbacks_;
    ClientListener listener_;
    boost::asio::steady_timer timeout_check_timer_;
    // Set while connections are being handed over to another process.
    HandOverConnection hand_over_connection_;
    ByteBudget body_budget_;
    ClientConnectionSet connections_;
    // Keyed by request id.
    std::unordered_map<std::uint64_t, ClientConnection*> requests_in_flight_;
    std::uint64_t next_request_id_ = 1;
    std::uint64_t next_connection_number_ = 1;
    bool open_ = false;
    bool draining_ = false;
    bool standby_ = false;
};

}  // namespace gateway::server

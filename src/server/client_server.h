// The clients' side: accepts connections, passes their requests on and writes the one response to each.
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

// Serves the clients at one address. Each request that is passed on is owed one final response, complete or
// streamed.
class ClientServer final : private ClientConnectionOwner {
  public:
    struct Callbacks {
        std::function<void(ClientRequest&&)> on_request;
        // The connection closed before the request had its response.
        std::function<void(std::uint64_t id)> on_disconnected;
        // Whether the health endpoint, /_health, reports success.
        std::function<bool()> ready;
        // What has been given of a streamed response is written: the next piece can be given.
        std::function<void(std::uint64_t id)> on_piece_written = {};
        // `request`: the one in flight; 0: none. Called before `on_disconnected`.
        std::function<void(ClientCloseReason cause, std::uint64_t request)> on_closed = {};
    };

    // Takes a connection that is between two requests, what has been read of its next request, and whether
    // that is its first.
    using Pass = std::function<void(Descriptor&&, std::string&& unread, bool first)>;

    // `most_bytes`: the limit of all requests' bodies in memory together. `listener`: a socket that listens
    // already, from another process; none: one is bound here. Throws boost::system::system_error where the
    // address can't be bound.
    ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 SocketBudget& budget, std::size_t most_bytes, Callbacks callbacks,
                 Descriptor&& listener = {});
    ~ClientServer();
    ClientServer(const ClientServer&) = delete;
    ClientServer& operator=(const ClientServer&) = delete;

    // Writes the response. Does nothing for a request that has had one or whose client has left.
    void answer(std::uint64_t id, Answer&& answer);
    // The same for a request that is rejected: the next one on its connection is parsed after a pause.
    void reject(std::uint64_t id, Answer&& answer);

    // Writes a response in pieces. Each further piece is given after `on_piece_written`, except for the last,
    // which may be given before it.
    void begin_response(std::uint64_t id, Answer&& first);
    void send_piece(std::uint64_t id, std::string&& piece);
    void end_response(std::uint64_t id, std::string&& last);
    // No more of the response comes: closes the connection so that the client can tell.
    void abort_response(std::uint64_t id);

    // Starts to parse requests. Connections are accepted before that, and the time of their requests runs.
    void open();
    // Starts a graceful shutdown: the health endpoint fails, responses end their connections, and idle
    // connections are closed.
    void drain();
    // Does the same for as long as the process is on standby.
    void set_standby(bool enabled);
    [[nodiscard]] bool on_standby() const { return standby_; }

    // A duplicate of the listening socket, for another process.
    [[nodiscard]] Descriptor share_listener() const { return listener_.share(); }
    // Hands each connection over to another process as soon as it is between two requests, and accepts no
    // further ones.
    void hand_over(Pass pass);
    // Ends the handover of connections and accepts again.
    void take_back();
    // Takes over a connection of another process, or closes it where no place is left for it.
    void adopt(Descriptor&& socket, std::string_view unread, bool first);
    // How many connections have a request in flight, which keeps them from being handed over.
    [[nodiscard]] std::size_t connections_in_flight() const { return requests_in_flight_.size(); }
    // Accepts the connections in the backlog, because the requests in them count as taken. Returns false
    // where there were none and are none now.
    [[nodiscard]] bool accept_backlog() { return listener_.accept_backlog(); }
    // Whether no connection has a request in flight, half read or unread, or a response half written.
    [[nodiscard]] bool is_idle() const { return !connections_.any_busy(); }
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return listener_.local_endpoint(); }

  private:
    using ConnectionPointer = std::shared_ptr<ClientConnection>;

    bool accepts_requests() const override { return open_; }
    bool draining() const override;
    bool healthy() const override { return callbacks_.ready(); }
    bool handing_over() const override { return static_cast<bool>(pass_); }
    void on_handed_over(Descriptor&& socket, std::string&& unread, bool first) override;
    std::uint64_t next_request_id() override { return next_request_id_++; }
    void on_request(ClientConnection& connection, ClientRequest&& request) override;
    void on_pieces_written(std::uint64_t request) override;
    void on_request_abandoned(std::uint64_t request) override;
    void on_closed(ClientCloseReason reason, std::uint64_t connection, std::uint64_t request) override;

    void on_connection(boost::asio::ip::tcp::socket&& socket, SocketBudget::Place&& place,
                       Steady::time_point connected_by);
    [[nodiscard]] ConnectionPointer make_connection(boost::asio::ip::tcp::socket&& socket,
                                                    SocketBudget::Place&& place,
                                                    Steady::time_point connected_by);
    // The connection whose request is in flight under that id, if there is one.
    [[nodiscard]] ConnectionPointer find_in_flight(std::uint64_t id) const;
    // The same, and the request is no longer in flight.
    [[nodiscard]] ConnectionPointer take_in_flight(std::uint64_t id);
    void sweep();

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    Callbacks callbacks_;
    ClientListener listener_;
    boost::asio::steady_timer sweep_timer_;
    Pass pass_;  // while another process takes the connections over
    ByteBudget body_budget_;
    ClientConnectionSet connections_;
    std::unordered_map<std::uint64_t, ClientConnection*> requests_in_flight_;  // by the request's id
    std::uint64_t next_request_id_ = 1;
    std::uint64_t next_connection_number_ = 1;
    bool open_ = false;
    bool draining_ = false;
    bool standby_ = false;
};

}  // namespace gateway::server

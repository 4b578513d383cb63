// The clients' side: listener, connections, request parsing, and the one final answer to each request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "byte_budget.h"
#include "clock.h"
#include "handover.h"
#include "http.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

struct ClientRequest {
    std::uint64_t id = 0;  // never used again
    std::uint64_t connection = 0;
    Steady::time_point arrived;  // at this machine, as far as that is known: never later than it did
    Request message;             // without what concerns the client's connection only
    ByteBudget::Room room;       // its body's
};

class ClientServer {
  public:
    struct Callbacks {
        std::function<void(ClientRequest&&)> on_request;
        std::function<void(std::uint64_t id)> on_left;        // the client closed before it had its answer
        std::function<bool()> ready;                          // what /_health tells
        std::function<void(std::uint64_t id)> on_taken = {};  // the last piece of a long answer has gone
        // `request`: in hand without an answer; 0: none. Called before `on_left`.
        std::function<void(ClientCloseReason cause, std::uint64_t request)> on_closed = {};
    };

    // Takes a connection that is between requests, what has been read of its next one, and whether that is
    // its first.
    using Pass = std::function<void(Descriptor&&, std::string&& unread, bool first)>;

    // `most_bytes`: of bodies, in all. `listener`: bound already, by a former process; none: it is bound
    // here. Throws boost::system::system_error where the address can't be bound.
    ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                 SocketBudget& budget, std::size_t most_bytes, Callbacks callbacks,
                 Descriptor&& listener = {});
    ~ClientServer();
    ClientServer(const ClientServer&) = delete;
    ClientServer& operator=(const ClientServer&) = delete;

    // Sends the final answer; does nothing for an id that has had one or whose client has left.
    void answer(std::uint64_t id, Answer&& answer);
    // The same for a request that should not have been sent: the next on its connection is heard after a
    // pause.
    void reject(std::uint64_t id, Answer&& answer);
    // A final answer in pieces: the next one after `on_taken`, but for the last, which may come before it.
    void begin_answer(std::uint64_t id, Answer&& first);
    void go_on(std::uint64_t id, std::string&& piece);
    void end_answer(std::uint64_t id, std::string&& last);
    // No more comes of it: the connection ends so that the client can tell.
    void break_answer(std::uint64_t id);
    // Until this, whoever connects waits unheard; the time of what it has sent runs.
    void open();
    // From now on /_health fails and answers end their connections; idle connections are closed.
    void drain();
    // Standby: the same for as long as it is on.
    void stand_by(bool on);
    bool standing_by() const { return standby_; }
    // To another process go the listener, and each connection as soon as it is between requests.
    Descriptor share_listener() const;
    void hand_over(Pass pass);
    void take_back();
    void adopt(Descriptor&& socket, std::string_view unread, bool first);
    // Connections that a request keeps from being handed over.
    std::size_t held_up() const;
    // Takes in what the machine has accepted already: requests in there count as taken. False if that was
    // nothing, and nothing waits there still.
    bool take_rest();
    // No connection has a request in hand, half read or unread, or an answer half written.
    bool quiet() const;
    boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;

    void accept();
    void accept_waiting();
    bool leaving() const { return (draining_ && !pass_) || standby_; }
    void close_idle();
    bool take_one(boost::system::error_code& ec);
    bool connection_waits();
    Steady::time_point came_by() const;
    std::shared_ptr<Connection> take_from_hand(std::uint64_t id);
    void note_closed(ClientCloseReason cause, std::uint64_t connection, std::uint64_t request);
    bool close_one_newcomer(std::chrono::steady_clock::duration silent_for);
    bool close_one_idle();
    bool make_room();
    void sweep();
    void sweep(Connections& connections);

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    Callbacks callbacks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_pause_, sweep_timer_;
    Pass pass_;  // while another process takes the clients
    ByteBudget bodies_;
    std::optional<Steady::time_point> backlog_since_;  // connections may have waited for a place from then on
    // Those that have not sent a whole request yet and those that end, and those that have: the one that came
    // or was used longest ago first.
    Connections newcomers_, known_;
    std::unordered_map<std::uint64_t, Connection*> in_hand_;  // by request
    std::uint64_t next_id_ = 1, next_connection_ = 1;
    bool open_ = false, accepting_ = false, starved_ = false, draining_ = false, standby_ = false;
};

}  // namespace gateway::server

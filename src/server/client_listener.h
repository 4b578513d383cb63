// Accepts the clients' connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "clock.h"
#include "handover.h"
#include "socket_budget.h"

namespace gateway::server {

// Listens at one address and accepts a connection whenever the socket budget has a place for it.
class ClientListener {
  public:
    struct Callbacks {
        // `connected_by`: the latest time by which the client is certain to have connected.
        std::function<void(boost::asio::ip::tcp::socket&&, SocketBudget::Place&&,
                           Steady::time_point connected_by)>
            on_connection;
        // The machine is short of descriptors or memory: closes a connection if it can.
        std::function<void()> on_shortage;
    };

    // `listener`: a socket that listens already, from another process; none: one is bound to the address
    // here. Throws boost::system::system_error where the address can't be bound.
    ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   SocketBudget& budget, Callbacks callbacks, Descriptor&& listener);
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // Starts to accept.
    void start();
    // Stops to accept, because another process does, until `resume`.
    void suspend();
    void resume();
    // Detaches from the socket budget, before the end.
    void detach();
    // Accepts all connections that are in the backlog. Returns whether there were any, or are still some.
    [[nodiscard]] bool accept_backlog();
    // A duplicate of the listening socket, for another process.
    [[nodiscard]] Descriptor share() const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  private:
    void accept();
    void on_acceptable();
    [[nodiscard]] bool accept_one(boost::system::error_code& ec);
    void accept_after_backoff();
    [[nodiscard]] bool has_backlog();
    [[nodiscard]] Steady::time_point connected_by() const;

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    const Callbacks callbacks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer backoff_timer_;
    // Connections may have waited in the backlog since then; none: there was no backlog at the last look.
    std::optional<Steady::time_point> backlog_since_;
    bool accept_pending_ = false;
    bool awaiting_place_ = false;  // accepts again when the socket budget has a place
    bool suspended_ = false;
};

}  // namespace gateway::server

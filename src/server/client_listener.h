// The listening socket for client connections.
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

// Listens on one address and accepts a connection whenever the socket budget has a slot for it.
class ClientListener {
  public:
    struct Callbacks {
        // A connection has been accepted. `connected_at`: the estimated time at which the client connected.
        std::function<void(boost::asio::ip::tcp::socket&&, SocketBudget::Slot&&,
                           Steady::time_point connected_at)>
            on_connection;
        // The system is short of descriptors or memory: the callback closes a connection if it can.
        std::function<void()> on_shortage;
    };

    // `listener`: a listening socket inherited from another process; if empty, the constructor binds one to
    // `address`. Throws boost::system::system_error if the address cannot be bound.
    ClientListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   SocketBudget& budget, Callbacks callbacks, Descriptor&& listener);
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // Starts to accept connections.
    void start();
    // Stops accepting until `resume`, because another process accepts the connections.
    void suspend();
    void resume();
    // Removes the callback from the socket budget. Required before destruction.
    void detach();
    // Accepts all connections in the backlog. Returns whether any was accepted or is left.
    [[nodiscard]] bool accept_backlog();
    // Accepts the connections in the backlog and closes the socket. Another process that listens on the
    // address then gets all new connections.
    void close();
    // Returns a duplicate of the listening socket for another process.
    [[nodiscard]] Descriptor share() const;
    // The address of the socket, also after `close`.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& local_endpoint() const { return local_endpoint_; }

  private:
    void forget_empty_backlog();
    void accept();
    void on_acceptable();
    [[nodiscard]] bool accept_one(boost::system::error_code& ec);
    void accept_after_backoff();
    [[nodiscard]] bool has_backlog();
    [[nodiscard]] Steady::time_point estimated_connect_time() const;

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    const Callbacks callbacks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint local_endpoint_;
    boost::asio::steady_timer backoff_timer_;
    // Connections may have waited in the backlog since this time. Empty if the backlog was empty at the last
    // check.
    std::optional<Steady::time_point> backlog_since_;
    bool accept_pending_ = false;
    // Whether the listener waits for a free slot in the socket budget.
    bool awaiting_slot_ = false;
    bool suspended_ = false;
};

}  // namespace gateway::server

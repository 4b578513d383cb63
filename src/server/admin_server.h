// The admin interface for operators: an HTTP server with its own listener, which serves one request per
// connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http.h"

namespace gateway::server {

// A request of an operator.
struct AdminCall {
    enum class Kind { status, ban, unban, enter_standby, leave_standby };
    Kind kind = Kind::status;
    // The uid of the host to ban or unban; empty for the other kinds.
    std::string host;
};

// Serves admin calls. Its connections do not count against the socket budget of clients and hosts. At the
// connection limit, the oldest connection is closed in favour of the new one. Operators therefore reach the
// gateway even under load.
class AdminServer {
  public:
    // Executes a call and returns the status of the answer.
    using OnCall = std::function<http::status(const AdminCall&)>;
    // Returns the body of the answer to GET /metrics.
    using OnMetrics = std::function<std::string()>;

    // Without `on_metrics`, a request for /metrics is answered with 404. Throws boost::system::system_error
    // if the address can't be bound.
    AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, OnCall on_call,
                OnMetrics on_metrics = {});
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;

    void accept();
    // Returns the answer to a request, including /metrics.
    [[nodiscard]] Answer respond(const Request& request) const;
    // Validates a request for one of the routes, calls `on_call_` and returns the status of the answer.
    [[nodiscard]] http::status execute(const Request& request) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_;
    OnCall on_call_;
    OnMetrics on_metrics_;
    Connections connections_;  // oldest first
};

}  // namespace gateway::server

// The admin interface for operators: a listener of its own, one call per connection.
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

struct AdminCall {
    enum class Kind { status, ban, unban, enter_standby, leave_standby };
    Kind kind = Kind::status;
    std::string host;  // uid; of ban and unban only
};

// Serves operators' calls. Its few connections are not part of the clients' socket budget, and the oldest
// gives way to a new one, so that operators reach the gateway also under load.
class AdminServer {
  public:
    // Returns the status of the answer.
    using OnCall = std::function<http::status(const AdminCall&)>;
    // Returns the text of /metrics.
    using OnMetrics = std::function<std::string()>;

    // Without `on_metrics` there is no /metrics. Throws boost::system::system_error if the address can't be
    // bound.
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
    [[nodiscard]] Answer respond(const Request& request) const;
    [[nodiscard]] http::status execute(const Request& request) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_;
    OnCall on_call_;
    OnMetrics on_metrics_;
    Connections connections_;  // the oldest first
};

}  // namespace gateway::server

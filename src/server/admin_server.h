// The admin interface for operators: a listener of its own, one call on a connection.
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
    enum class Kind { status, ban, put_back, stand_by, activate };
    Kind kind = Kind::status;
    std::string host;  // of ban and put_back
};

// Guards against operators that go unheard under load: its few connections are none of the clients' budget,
// and callers that say nothing give way to those that come.
class AdminServer {
  public:
    using OnCall = std::function<http::status(const AdminCall&)>;
    using OnMetrics = std::function<std::string()>;  // the text of /metrics

    // Throws boost::system::system_error where the address can't be bound.
    AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, OnCall on_call,
                OnMetrics on_metrics = {});
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  private:
    class Caller;
    using Callers = std::list<std::shared_ptr<Caller>>;

    void accept();
    Answer hear(const Request& request) const;
    http::status carry_out(const Request& request) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    OnCall on_call_;
    OnMetrics on_metrics_;
    Callers callers_;  // the one that came first in front
};

}  // namespace gateway::server

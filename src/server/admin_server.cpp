#include "admin_server.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <string_view>

#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// The descriptors of these connections are part of those that main.cpp reserves.
constexpr std::size_t max_connections = 8;
// Limits the header and the body of a request separately.
constexpr std::size_t max_message_bytes = 4096;
// Limits the time to read a request, and again the time to write its answer. Each answer is due within one
// second.
constexpr auto call_timeout = 800ms;
// Once the answer is written, the caller has this long to close the connection first.
constexpr auto linger_timeout = 200ms;
// Delay before the next accept after one that failed, for example for lack of a descriptor.
constexpr auto accept_retry_interval = 20ms;

// Returns an answer whose body is the reason phrase of the status.
Answer make_status_answer(http::status status) {
    return make_answer(status, std::string(http::obsolete_reason(status)) + '\n');
}

// A path of the admin interface, the only method it accepts, and the call it makes.
struct Route {
    std::string_view target;
    http::verb method;
    AdminCall::Kind kind;
};
constexpr std::array<Route, 5> routes{{{"/status", http::verb::get, AdminCall::Kind::status},
                                       {"/maintenance/enter", http::verb::post, AdminCall::Kind::ban},
                                       {"/maintenance/exit", http::verb::post, AdminCall::Kind::unban},
                                       {"/standby", http::verb::post, AdminCall::Kind::enter_standby},
                                       {"/active", http::verb::post, AdminCall::Kind::leave_standby}}};

// Returns null if no route has the target.
const Route* find_route(std::string_view target) {
    const auto* const found = std::find_if(routes.begin(), routes.end(),
                                           [&](const Route& route) { return route.target == target; });
    return found == routes.end() ? nullptr : found;
}

// Returns the text without leading and trailing whitespace.
std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}
}  // namespace

// A connection of one caller: reads one request, writes the answer and closes. Each pending operation holds a
// shared pointer to the connection.
class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(AdminServer& server, tcp::socket&& socket)
        : server_(server), socket_(std::move(socket)), timer_(socket_.get_executor()) {
        parser_.header_limit(max_message_bytes);
        parser_.body_limit(max_message_bytes);
        error_code ec;
        socket_.non_blocking(true, ec);
    }
    // The position of this connection in the server's list. Has to be set before `start` is called.
    Connections::iterator position;

    void start() {
        timer_.expires_after(call_timeout);
        timer_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled && !self->answered_) self->answer(http::status::request_timeout);
        });
        http::async_read(socket_, read_buffer_, parser_,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (self->answered_ || self->closed_) return;
                             if (ec == http::error::body_limit)
                                 return self->answer(http::status::payload_too_large);
                             if (ec == http::error::header_limit)
                                 return self->answer(http::status::request_header_fields_too_large);
                             if (ec && ec.category() == boost::system::system_category())
                                 return self->close();
                             if (ec) return self->answer(http::status::bad_request);
                             self->answer(self->server_.respond(self->parser_.get()));
                         });
    }
    void close() {
        if (std::exchange(closed_, true)) return;
        error_code ec;
        timer_.cancel();
        socket_.close(ec);
        // Keeps the object alive until this function returns, because the list drops its pointer.
        const auto keep_alive = shared_from_this();
        server_.connections_.erase(position);
    }

  private:
    void answer(http::status status) { answer(make_status_answer(status)); }
    void answer(Answer&& answer) {
        answered_ = true;
        answer.keep_alive(false);
        answer.prepare_payload();
        if (parser_.is_header_done() && parser_.get().method() == http::verb::head) answer.body().clear();
        serialize(answer, serialized_answer_);
        timer_.expires_after(call_timeout);
        timer_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled) self->close();
        });
        write(0);
    }
    // Writes the serialized answer from the byte offset `from` on.
    void write(std::size_t from) {
        error_code ec;
        from += write_available(socket_, std::string_view(serialized_answer_).substr(from), ec);
        if (ec) return close();
        if (from == serialized_answer_.size()) return on_written();
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), from](error_code failed) {
            if (self->closed_) return;
            if (failed) return self->close();
            self->write(from);
        });
    }
    // Reads and discards further input until the caller closes or the linger timeout ends. Closing a socket
    // with unread input resets the connection, and the reset can destroy the answer before the caller reads
    // it.
    void on_written() {
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        timer_.expires_after(linger_timeout);
        timer_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled) self->close();
        });
        discard_input();
    }
    void discard_input() {
        socket_.async_read_some(asio::buffer(discarded_),
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (ec) self->close();
                                    else self->discard_input();
                                });
    }

    AdminServer& server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer read_buffer_{2 * max_message_bytes};
    http::request_parser<http::string_body> parser_;
    std::array<char, 512> discarded_;
    std::string serialized_answer_;
    bool answered_ = false;
    bool closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listen, OnCall on_call,
                         OnMetrics on_metrics)
    : acceptor_(io, listen, true),
      accept_retry_(io),
      on_call_(std::move(on_call)),
      on_metrics_(std::move(on_metrics)) {
    accept();
}
AdminServer::~AdminServer() {
    while (!connections_.empty()) connections_.front()->close();
}

void AdminServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            LogLine(LogLevel::warning, "admin_accept_failed").with("error", ec.message());
            accept_retry_.expires_after(accept_retry_interval);
            return accept_retry_.async_wait([this](error_code cancelled) {
                if (!cancelled) accept();
            });
        }
        if (connections_.size() >= max_connections) connections_.front()->close();
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connection->position = connections_.insert(connections_.end(), connection);
        connection->start();
        accept();
    });
}

Answer AdminServer::respond(const Request& request) const {
    if (request.target() != "/metrics" || !on_metrics_) return make_status_answer(execute(request));
    if (request.method() != http::verb::get) return make_status_answer(http::status::method_not_allowed);
    Answer answer = make_answer(http::status::ok, on_metrics_());
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    return answer;
}

http::status AdminServer::execute(const Request& request) const {
    const Route* const route = find_route({request.target().data(), request.target().size()});
    if (route == nullptr) return http::status::not_found;
    if (request.method() != route->method) return http::status::method_not_allowed;
    AdminCall call;
    call.kind = route->kind;
    if (call.kind == AdminCall::Kind::ban || call.kind == AdminCall::Kind::unban) {
        call.host = trimmed(request.body());
        if (call.host.empty()) return http::status::bad_request;
    }
    return on_call_(call);
}

}  // namespace gateway::server

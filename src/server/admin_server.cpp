#include "admin_server.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t most_callers = 8;  // of the descriptors set aside
constexpr std::size_t most_call = 4096;  // bytes of a call's header, and of its body
constexpr auto call_most = 800ms;        // every answer is due within a second
constexpr auto linger_most = 200ms;      // for the caller to close first
constexpr auto accept_again = 20ms;      // after an accept that failed for want of something

Answer plain(http::status status) {
    return make_answer(status, std::string(http::obsolete_reason(status)) + '\n');
}

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == text.npos) return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}
}  // namespace

class AdminServer::Caller : public std::enable_shared_from_this<Caller> {
  public:
    Caller(AdminServer& admin, tcp::socket&& socket)
        : admin_server_(admin), socket_(std::move(socket)), timer_(socket_.get_executor()) {
        parser_.header_limit(most_call);
        parser_.body_limit(most_call);
        error_code ec;
        socket_.non_blocking(true, ec);
    }
    Callers::iterator self;

    void start() {
        timer_.expires_after(call_most);
        timer_.async_wait([self = shared_from_this()](error_code stopped) {
            if (!stopped && !self->answered_) self->answer(http::status::request_timeout);
        });
        http::async_read(socket_, unread_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
            if (self->answered_ || self->closed_) return;
            if (ec == http::error::body_limit) return self->answer(http::status::payload_too_large);
            if (ec == http::error::header_limit)
                return self->answer(http::status::request_header_fields_too_large);
            if (ec && ec.category() == boost::system::system_category()) return self->close();
            if (ec) return self->answer(http::status::bad_request);
            self->answer(self->admin_server_.hear(self->parser_.get()));
        });
    }
    bool answered() const { return answered_; }
    void close() {
        if (std::exchange(closed_, true)) return;
        error_code ec;
        timer_.cancel();
        socket_.close(ec);
        const auto keep = shared_from_this();
        admin_server_.callers_.erase(self);
    }

  private:
    void answer(http::status status) { answer(plain(status)); }
    void answer(Answer&& answer) {
        answered_ = true;
        answer.keep_alive(false);
        answer.prepare_payload();
        if (parser_.is_header_done() && parser_.get().method() == http::verb::head) answer.body().clear();
        serialize(answer, out_);
        timer_.expires_after(call_most);
        timer_.async_wait([self = shared_from_this()](error_code stopped) {
            if (!stopped) self->close();
        });
        write(0);
    }
    void write(std::size_t from) {
        error_code ec;
        from += write_available(socket_, std::string_view(out_).substr(from), ec);
        if (ec) return close();
        if (from == out_.size()) return on_written();
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), from](error_code failed) {
            if (self->closed_) return;
            if (failed) return self->close();
            self->write(from);
        });
    }
    // What a half call still sends is read and dropped, so that the close does not take the answer along.
    void on_written() {
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        timer_.expires_after(linger_most);
        timer_.async_wait([self = shared_from_this()](error_code stopped) {
            if (!stopped) self->close();
        });
        drop();
    }
    void drop() {
        socket_.async_read_some(asio::buffer(nowhere_),
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (ec) self->close();
                                    else self->drop();
                                });
    }

    AdminServer& admin_server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer unread_{2 * most_call};
    http::request_parser<http::string_body> parser_;
    std::array<char, 512> nowhere_;
    std::string out_;
    bool answered_ = false, closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listen, OnCall on_call,
                         OnMetrics on_metrics)
    : acceptor_(io, listen, true),
      pause_(io),
      on_call_(std::move(on_call)),
      on_metrics_(std::move(on_metrics)) {
    accept();
}
AdminServer::~AdminServer() {
    while (!callers_.empty()) callers_.front()->close();
}

void AdminServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            LogLine(LogLevel::warning, "admin_accept_failed").with("error", ec.message());
            pause_.expires_after(accept_again);
            return pause_.async_wait([this](error_code stopped) {
                if (!stopped) accept();
            });
        }
        if (callers_.size() >= most_callers) callers_.front()->close();
        const auto caller = std::make_shared<Caller>(*this, std::move(socket));
        caller->self = callers_.insert(callers_.end(), caller);
        caller->start();
        accept();
    });
}

Answer AdminServer::hear(const Request& request) const {
    if (request.target() != "/metrics" || !on_metrics_) return plain(carry_out(request));
    if (request.method() != http::verb::get) return plain(http::status::method_not_allowed);
    Answer answer = make_answer(http::status::ok, on_metrics_());
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    return answer;
}

http::status AdminServer::carry_out(const Request& request) const {
    const auto target = request.target();
    const bool status = target == "/status", enter = target == "/maintenance/enter",
               exit = target == "/maintenance/exit", stand_by = target == "/standby",
               active = target == "/active";
    if (!status && !enter && !exit && !stand_by && !active) return http::status::not_found;
    if (request.method() != (status ? http::verb::get : http::verb::post))
        return http::status::method_not_allowed;
    AdminCall call;
    call.kind = status     ? AdminCall::Kind::status
                : enter    ? AdminCall::Kind::ban
                : exit     ? AdminCall::Kind::put_back
                : stand_by ? AdminCall::Kind::stand_by
                           : AdminCall::Kind::activate;
    if (enter || exit) {
        call.host = trimmed(request.body());
        if (call.host.empty()) return http::status::bad_request;
    }
    return on_call_(call);
}

}  // namespace gateway::server

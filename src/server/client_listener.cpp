#include "client_listener.h"

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <utility>

#include "log.h"
#include "shared_address.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// While the backlog is never empty, the time at which the next connection in it arrived is unknown. It is
// assumed to be at most this long ago, because otherwise all requests on it would count as expired.
constexpr std::chrono::milliseconds max_backlog_age = 500ms;
// The delay after an accept failed because descriptors, memory or slots of the socket budget were short.
constexpr std::chrono::milliseconds accept_backoff = 20ms;

bool is_shortage(error_code ec) {
    return ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
           ec == asio::error::no_memory || ec.value() == ENFILE;
}
}  // namespace

ClientListener::ClientListener(asio::io_context& io, const tcp::endpoint& address, SocketBudget& budget,
                               Callbacks callbacks, Descriptor&& listener)
    : io_(io),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      acceptor_(io),
      backoff_timer_(io),
      // Clients may connect as soon as the socket listens, before the event loop runs.
      backlog_since_(Steady::now()) {
    if (listener) {
        acceptor_.assign(address.protocol(), listener.release());
    } else {
        acceptor_.open(address.protocol());
        // Lets a restarted process bind the address at once.
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        // Lets this process bind while the previous process still listens.
        acceptor_.set_option(ReusePort(true));
        acceptor_.bind(address);
        acceptor_.listen(asio::socket_base::max_listen_connections);
    }
    acceptor_.non_blocking(true);
    local_endpoint_ = acceptor_.local_endpoint();
}

void ClientListener::start() {
    budget_.on_freed([this] {
        if (!std::exchange(awaiting_slot_, false)) return;
        asio::post(io_, [this] { accept(); });
    });
    forget_empty_backlog();
    accept();
}

// Connections that arrive before the event loop runs have waited since the construction; later ones have not.
void ClientListener::forget_empty_backlog() {
    backoff_timer_.expires_after(0ms);
    backoff_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled && !has_backlog()) backlog_since_.reset();
    });
}

void ClientListener::detach() { budget_.on_freed({}); }

void ClientListener::suspend() {
    suspended_ = true;
    error_code ec;
    acceptor_.cancel(ec);
}

void ClientListener::resume() {
    suspended_ = false;
    accept();
}

// One accept is always pending, unless accepting is suspended or the socket budget has no slot for a further
// client. In the second case, the next slot that becomes free starts the accept, or else the end of the
// backoff: a connection that can be evicted by then frees a slot only when one is requested.
void ClientListener::accept() {
    if (accept_pending_ || suspended_ || !acceptor_.is_open()) return;
    accept_pending_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code failed) {
        accept_pending_ = false;
        if (suspended_ || !acceptor_.is_open()) return;
        // `resume` was called after `suspend` had cancelled this wait but before the handler ran.
        if (failed) return accept();
        on_acceptable();
    });
}

void ClientListener::on_acceptable() {
    error_code ec;
    const bool had_place = accept_one(ec);
    if (!has_backlog()) backlog_since_.reset();
    else if (!backlog_since_) backlog_since_ = Steady::now();
    if (!had_place) {
        awaiting_slot_ = true;
        return accept_after_backoff();
    }
    if (!is_shortage(ec)) return accept();
    LogLine(LogLevel::warning, "accept_failed").with("error", ec.message());
    callbacks_.on_shortage();
    accept_after_backoff();
}

// Guards against a busy loop: while descriptors are exhausted, the connection in the backlog would end each
// wait at once.
void ClientListener::accept_after_backoff() {
    backoff_timer_.expires_after(accept_backoff);
    backoff_timer_.async_wait([this](error_code cancelled) {
        if (cancelled) return;
        awaiting_slot_ = false;
        accept();
    });
}

// Returns false if the socket budget had no slot for the connection.
bool ClientListener::accept_one(error_code& ec) {
    std::optional<SocketBudget::Slot> slot = budget_.acquire(SocketBudget::Side::client);
    if (!slot) return false;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) return true;
    callbacks_.on_connection(std::move(socket), std::move(*slot), estimated_connect_time());
    return true;
}

bool ClientListener::accept_backlog() {
    // The other process accepts the backlog.
    if (suspended_ || !acceptor_.is_open()) return false;
    bool any = false;
    for (error_code ec; accept_one(ec) && !ec;) any = true;
    // An accept may fail temporarily or find no slot in the budget; the remaining connections in the backlog
    // still count.
    return any || has_backlog();
}

void ClientListener::close() {
    if (!acceptor_.is_open()) return;
    error_code ec;
    while (!suspended_ && accept_one(ec) && !ec) continue;
    acceptor_.close(ec);
}

bool ClientListener::has_backlog() {
    pollfd listener{acceptor_.native_handle(), POLLIN, 0};
    return ::poll(&listener, 1, 0) > 0;
}

// Returns the estimated time at which the connection at the head of the backlog arrived. While connections
// wait in the backlog, this is an early estimate: the time since when the backlog has not been empty, but at
// most `max_backlog_age` ago. Otherwise, it is the current time.
Steady::time_point ClientListener::estimated_connect_time() const {
    const auto now = Steady::now();
    return std::max(backlog_since_.value_or(now), now - max_backlog_age);
}

Descriptor ClientListener::share() const {
    const int listener = const_cast<tcp::acceptor&>(acceptor_).native_handle();
    return Descriptor(::fcntl(listener, F_DUPFD_CLOEXEC, 0));
}

}  // namespace gateway::server

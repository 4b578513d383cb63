#include "client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <utility>

#include "client_limits.h"
#include "containment.h"
#include "socket_state.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
}  // namespace

ClientConnection::ClientConnection(asio::io_context& io, ClientConnectionOwner& owner,
                                   ClientConnectionSet& connections, ByteBudget& body_budget,
                                   tcp::socket&& socket, SocketBudget::Slot&& slot, std::uint64_t number,
                                   Steady::time_point connected_at)
    : io_(io),
      owner_(owner),
      connections_(connections),
      socket_(std::move(socket)),
      slot_(std::move(slot)),
      number_(number),
      connected_at_(connected_at),
      reader_(body_budget) {
    set_timeout(client_limits::header_timeout);
}

void ClientConnection::start() {
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    if (socket_.available(ec) > 0) first_bytes_at_ = connected_at_;
    read();
}

void ClientConnection::start_adopted(std::string_view unread, bool first_request) {
    first_request_ = first_request;
    if (!first_request) set_timeout(client_limits::idle_timeout);
    // No release of this program hands over more bytes than the reader's buffer holds.
    if (!reader_.append(unread)) return close(ClientCloseReason::internal_error);
    unread_since_ = last_input_at_ = Steady::now();
    error_code ec;
    socket_.non_blocking(true, ec);
    process_input();
}

void ClientConnection::process_input() {
    parse();
    read();
}

bool ClientConnection::idle() const {
    error_code ec;
    return between_requests() && reader_.buffered_bytes() == 0 && socket_.available(ec) == 0;
}

bool ClientConnection::busy() const {
    if (state_ == State::closed || state_ == State::lingering) return false;
    error_code ec;
    return !between_requests() || has_deferred_input() || socket_.available(ec) > 0;
}

bool ClientConnection::evictable_newcomer(Steady::time_point connected_by) const {
    if (state_ == State::closed || connected_at_ > connected_by) return false;
    if (state_ == State::lingering) return true;
    error_code ec;
    return request_ == 0 && !writing_ && !has_deferred_input() && socket_.available(ec) == 0;
}

bool ClientConnection::stalled(Steady::time_point since) const {
    if (state_ != State::open || request_ != 0 || writing_) return false;
    error_code ec;
    return reader_.active() && last_input_at_ <= since && socket_.available(ec) == 0;
}

bool ClientConnection::between_requests() const {
    return (state_ == State::open || state_ == State::paused) && request_ == 0 && !writing_ &&
           !reader_.active();
}

// Whether bytes of the next request are buffered but not parsed yet, because the connection is paused or the
// owner does not accept requests yet.
bool ClientConnection::has_deferred_input() const {
    return (state_ == State::paused || !owner_.accepts_requests()) && reader_.buffered_bytes() > 0;
}

// A new connection does not count, because its client may be about to send the first request.
bool ClientConnection::idle_after_response() const {
    return !first_request_ && state_ != State::paused && idle();
}

void ClientConnection::on_timeout() {
    // While a request is in flight, its own deadline limits the time until the response, so only a slow
    // reader of a streamed response times out here.
    if (request_ != 0 && !(streaming_ && writing_)) return set_timeout(client_limits::idle_timeout);
    if (state_ == State::paused) return end_pause();
    if (reader_.active() && !writing_ && state_ != State::lingering)
        return fail({http::status::request_timeout, "request not whole in time"});
    if (idle_after_response()) return linger();
    close(state_ == State::lingering ? ClientCloseReason::linger_timeout : ClientCloseReason::timeout);
}

// Buffered bytes are handed over along with the socket, but bytes that the parser has consumed cannot be.
bool ClientConnection::can_hand_over() const {
    return state_ == State::open && request_ == 0 && !writing_ &&
           (!reader_.active() || !reader_.consumed_any());
}

void ClientConnection::hand_over() {
    error_code ec;
    Descriptor socket(socket_.release(ec));
    if (ec) return close(ClientCloseReason::internal_error);
    state_ = State::closed;
    owner_.on_closed(ClientCloseReason::handed_over, number_, 0);
    const auto self = shared_from_this();
    ClientConnectionSet::remove(*this);
    slot_.release();
    owner_.on_handed_over(std::move(socket), reader_.copy_of_buffered(), first_request_);
}

void ClientConnection::respond(Answer&& answer) {
    request_ = 0;
    const bool keep_alive = keep_alive_ && !owner_.draining();
    close_after_response_ = !keep_alive;
    encoder_.encode(std::move(answer), keep_alive, output_);
    write();
}

void ClientConnection::begin_stream(Answer&& first) {
    const bool keep_alive = keep_alive_ && !owner_.draining();
    close_after_response_ = !encoder_.begin_stream(std::move(first), keep_alive, output_);
    streaming_ = true;
    write();
}

void ClientConnection::write_piece(std::string&& piece, bool last) {
    if (state_ == State::closed) return;
    std::string text = encoder_.encode_piece(std::move(piece), last);
    if (last) {
        streaming_ = false;
        request_ = 0;
    }
    if (writing_) {
        next_output_ += text;
        return;
    }
    output_ = std::move(text);
    write();
    if (last) resume();
}

void ClientConnection::abort_stream() { close(ClientCloseReason::response_aborted); }

void ClientConnection::resume() {
    penalty_ = {};
    process_input();
}

void ClientConnection::pause() {
    if (state_ == State::closed || state_ == State::lingering || writing_) return;
    const auto next_penalty = penalty_ == 0ms ? client_limits::initial_penalty : penalty_ * 2;
    penalty_ = std::min(next_penalty, client_limits::max_penalty);
    state_ = State::paused;
    connections_.move_to_newcomers(*this);
    set_timeout(penalty_);
}

void ClientConnection::end_pause() {
    state_ = State::open;
    set_timeout(client_limits::idle_timeout);
    process_input();
}

void ClientConnection::close(ClientCloseReason reason) {
    if (std::exchange(state_, State::closed) == State::closed) return;
    error_code ec;
    // The client could take an orderly close for the end of a response without a length.
    if (streaming_) socket_.set_option(asio::socket_base::linger(true, 0), ec);
    socket_.close(ec);
    owner_.on_closed(reason, number_, request_);
    if (const std::uint64_t request = std::exchange(request_, 0)) owner_.on_request_abandoned(request);
    const auto self = shared_from_this();
    ClientConnectionSet::remove(*this);
    reader_.release_body_reservation();
    slot_.release();
}

void ClientConnection::read() {
    if (owner_.handing_over() && can_hand_over()) return hand_over();
    if (!should_read()) return;
    read_pending_ = true;
    // Waits until the socket is readable before it reads, so that unread bytes stay in the kernel, where
    // idle() sees them. If a read completed before its handler ran, a connection could look idle and be
    // closed although a request has arrived on it.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->read_pending_ = false;
        if (self->state_ == State::closed) return;
        if (ec) return self->close(ClientCloseReason::closed_by_client);
        run_contained(
            "client", [&] { self->on_readable(); }, [&] { self->close(ClientCloseReason::internal_error); });
    });
}

bool ClientConnection::should_read() const {
    if (state_ == State::closed || read_pending_) return false;
    if (state_ == State::lingering) return dropped_bytes_ < client_limits::max_dropped_bytes;
    // While nothing can be parsed, at most one read of pipelined data is buffered; the rest stays in the
    // kernel.
    const bool deferred = writing_ || state_ == State::paused || !owner_.accepts_requests();
    return request_ != 0 || !deferred || reader_.buffered_bytes() < ClientRequestReader::read_bytes;
}

void ClientConnection::on_readable() {
    if (state_ == State::lingering) return drop_input();
    // While a request is in flight, all input is read, because unread bytes would hide that the client has
    // disconnected. Pipelined data beyond the limit is dropped, and the connection is closed after the
    // response.
    if (request_ != 0 && reader_.buffered_bytes() >= max_header_bytes) {
        keep_alive_ = false;
        close_after_response_ = true;
        if (dropped_bytes_ >= client_limits::max_dropped_bytes) return close(ClientCloseReason::flood);
        return drop_input();
    }
    if (!reader_.has_space()) return fail({http::status::request_header_fields_too_large, "line too long"});
    error_code ec;
    const std::size_t bytes = socket_.read_some(reader_.prepare(), ec);
    if (ec && !is_would_block(ec)) return close(ClientCloseReason::closed_by_client);
    // A request's time starts when its first byte arrives, even if the request is then buffered for a while.
    if (reader_.buffered_bytes() == 0 && bytes > 0)
        unread_since_ = std::exchange(first_bytes_at_, std::nullopt).value_or(Steady::now());
    if (bytes > 0) last_input_at_ = Steady::now();
    reader_.commit(bytes);
    process_input();
}

void ClientConnection::drop_input() {
    std::array<char, client_limits::drop_buffer_bytes> discarded;
    error_code ec;
    dropped_bytes_ += socket_.read_some(asio::buffer(discarded), ec);
    if (ec && !is_would_block(ec))
        return close(state_ == State::lingering ? ClientCloseReason::linger_timeout
                                                : ClientCloseReason::closed_by_client);
    read();
}

void ClientConnection::parse() {
    // A response from within this loop calls parse() again; the outer call continues the loop.
    if (std::exchange(parsing_, true)) return;
    while (owner_.accepts_requests() && reader_.buffered_bytes() > 0 && state_ == State::open &&
           request_ == 0 && !writing_)
        if (!parse_some()) break;
    parsing_ = false;
    reader_.shrink_if_empty();
}

// Parses the buffered bytes of one request. Returns false if more bytes are needed first.
bool ClientConnection::parse_some() {
    if (!reader_.active()) {
        reader_.start();
        // The timeout of the first request runs from the connect, and bytes that arrive slowly do not extend
        // it.
        if (!first_request_) set_timeout(client_limits::header_timeout);
    }
    const ClientRequestReader::Progress progress = reader_.parse();
    if (progress.error) {
        fail(*progress.error);
        return true;
    }
    if (reader_.complete()) {
        dispatch_request();
        return true;
    }
    if (reader_.header_complete()) extend_body_deadline(progress.header_completed, progress.consumed_bytes);
    if (progress.header_completed && reader_.expects_continue()) {
        output_ = continue_response;
        write();
        return true;
    }
    return progress.consumed_bytes > 0;
}

void ClientConnection::extend_body_deadline(bool header_completed, std::size_t bytes) {
    body_bytes_ = header_completed ? 0 : body_bytes_ + bytes;
    if (!header_completed && body_bytes_ < client_limits::min_body_progress_bytes) return;
    body_bytes_ = 0;
    deadline_ = std::max(deadline_, Steady::now() + (first_request_ ? client_limits::first_body_timeout
                                                                    : client_limits::body_timeout));
}

// Passes a complete request to the owner, or answers it here if it is a health check or has an unsupported
// method.
void ClientConnection::dispatch_request() {
    ClientRequestReader::Released released = reader_.release();
    Request& message = released.message;
    keep_alive_ = released.keep_alive;
    encoder_.set_request(message.version(), message.method() == http::verb::head);
    first_request_ = false;
    if (message.target() == "/_health") {
        const bool healthy = !owner_.draining() && owner_.healthy();
        return respond(make_answer(healthy ? http::status::ok : http::status::service_unavailable));
    }
    // The request may have waited in the kernel while its client gave up and closed the connection.
    if (is_closed_by_peer(socket_)) return close(ClientCloseReason::closed_by_client);
    // A connection that has only sent health checks stays a newcomer, so that it is evicted before
    // connections that have sent other requests.
    connections_.move_to_known(*this);
    if (message.method() == http::verb::connect || message.method() == http::verb::unknown)
        return fail({http::status::method_not_allowed, "method not allowed"});
    ClientRequest request;
    request.body_reservation = reader_.take_body_reservation();
    request_ = owner_.next_request_id();
    request.id = request_;
    request.connection = number_;
    request.arrived = unread_since_;
    request.message = std::move(message);
    owner_.on_request(*this, std::move(request));
}

// Answers a request that cannot be parsed, and closes the connection after the response, because the start of
// the next request is unknown.
void ClientConnection::fail(const UnreadableRequest& error) {
    reader_.abort();
    keep_alive_ = false;
    respond(make_answer(error.status, std::string(error.text) + '\n'));
}

// Writes without waiting until the socket is writable, because most responses fit into its send buffer at
// once.
void ClientConnection::write() {
    if (write_from(0)) on_written();
}

// Writes `output_` from `offset` on. Returns false if the rest has to wait until the socket is writable, or
// if the connection is closed.
bool ClientConnection::write_from(std::size_t offset) {
    set_timeout(client_limits::write_timeout);
    error_code ec;
    offset += write_available(socket_, std::string_view(output_).substr(offset), ec);
    if (ec) {
        close(ClientCloseReason::write_failed);
        return false;
    }
    writing_ = offset < output_.size();
    if (writing_) await_writable(offset);
    return !writing_;
}

// Waits until the socket is writable, then continues at `offset`. The wait ends at once if the send buffer
// has space again by then.
void ClientConnection::await_writable(std::size_t offset) {
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), offset](error_code failed) {
        if (self->state_ == State::closed) return;
        if (failed) return self->close(ClientCloseReason::write_failed);
        run_contained(
            "client", [&] { self->on_writable(offset); },
            [&] { self->close(ClientCloseReason::internal_error); });
    });
}

void ClientConnection::on_writable(std::size_t offset) {
    if (!write_from(offset)) return;
    on_written();
    process_input();
}

void ClientConnection::on_written() {
    if (!next_output_.empty()) {
        output_ = std::exchange(next_output_, {});
        return write();
    }
    if (streaming_) {
        set_timeout(client_limits::idle_timeout);
        return report_pieces_written();
    }
    // The output was the 100 Continue response.
    if (reader_.active()) return set_timeout(client_limits::header_timeout);
    set_timeout(client_limits::idle_timeout);
    if (close_after_response_) return linger();
    if (output_.capacity() > client_limits::max_idle_output_bytes) std::string().swap(output_);
}

// The call is posted to the event loop, because the owner may write the next piece at once, which would
// re-enter this function.
void ClientConnection::report_pieces_written() {
    asio::post(io_, [self = shared_from_this()] {
        if (self->state_ != State::closed && self->streaming_) self->owner_.on_pieces_written(self->request_);
    });
}

// Shuts down the sending side and drops input until the client closes the connection. A close with unread
// bytes, which may arrive even after a check that the connection is idle, would reset the connection, and the
// client could lose the end of its last response.
void ClientConnection::linger() {
    state_ = State::lingering;
    connections_.move_to_front(*this);
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    reader_.discard_buffered();
    std::string().swap(output_);
    set_timeout(client_limits::linger_timeout);
    read();
}

}  // namespace gateway::server

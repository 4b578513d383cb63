#include "host_connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include "containment.h"
#include "log.h"
#include "socket_state.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// Delay before a connect is retried after a local failure.
constexpr std::chrono::milliseconds connect_retry_backoff = 10ms;
// The request buffer of an idle connection is released if its capacity exceeds this.
constexpr std::size_t max_idle_buffer_bytes = 4096;

// The request header with the time in milliseconds that the gateway still waits for the response. Its value
// is set when the request is written.
constexpr std::string_view time_left_header = "X-Expires-In-Ms";

// Whether a connect failed because of a temporary condition of this machine, which is no fault of the host.
bool is_local_failure(error_code ec) {
    constexpr std::array errors{EADDRNOTAVAIL, EAGAIN, EMFILE,   ENFILE,
                                ENOBUFS,       ENOMEM, ENETDOWN, ENETUNREACH};
    return ec.category() == boost::system::system_category() &&
           std::find(errors.begin(), errors.end(), ec.value()) != errors.end();
}

// Whether the outcome means that a response of the host ended the exchange.
bool has_response(HostOutcome outcome) {
    return outcome == HostOutcome::success || outcome == HostOutcome::rejected ||
           outcome == HostOutcome::error;
}

// Maps a response to its outcome. X-Never-Ran marks a request that the host did not execute.
HostOutcome outcome_of(const Answer& answer) {
    const unsigned status = answer.result_int();
    if (status == 200) return HostOutcome::success;
    const bool not_executed = (status == 503 || status == 504) && answer["X-Never-Ran"] == "1";
    return not_executed ? HostOutcome::rejected : HostOutcome::error;
}
}  // namespace

HostConnection::HostConnection(asio::io_context& io, HostConnectionOwner& owner,
                               std::shared_ptr<PooledHost> host, SocketBudget::Slot&& slot,
                               std::chrono::microseconds connect_timeout,
                               std::chrono::microseconds min_idle_time)
    : owner_(owner),
      host_(std::move(host)),
      endpoint_(host_->endpoint),
      connect_timeout_(connect_timeout),
      min_idle_time_(min_idle_time),
      slot_(std::move(slot)),
      socket_(io),
      deadline_timer_(io),
      connect_retry_timer_(io) {}

bool HostConnection::has_no_pending_input() {
    char byte = 0;
    error_code ec;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return is_would_block(ec);
}

void HostConnection::send_attempt(const AttemptKey& key, Request& request, std::chrono::microseconds timeout,
                                  std::optional<std::chrono::microseconds> delivery_timeout) {
    request.set(boost::beast::string_view(time_left_header.data(), time_left_header.size()), "0");
    serialize(request, request_buffer_);
    is_health_check_ = false;
    key_ = key;
    delivery_deadline_ = delivery_timeout ? Steady::now() + *delivery_timeout : Steady::time_point::max();
    const auto body = owner_.streams_responses() ? ExpectedBody::streamable : ExpectedBody::buffered;
    start_exchange(request.method() == http::verb::head ? ExpectedBody::none : body, timeout);
}

void HostConnection::send_health_check(std::chrono::microseconds timeout) {
    request_buffer_ = "GET /_load HTTP/1.1\r\nHost: " + host_->uid + "\r\n\r\n";
    is_health_check_ = true;
    delivery_deadline_ = Steady::time_point::max();
    start_exchange(ExpectedBody::buffered, timeout);
}

void HostConnection::start_exchange(ExpectedBody body, std::chrono::microseconds timeout) {
    const auto earliest_write = rested_at();
    phase_started_at_ = Steady::now();
    deadline_ = phase_started_at_ + timeout;
    streaming_ = false;
    awaiting_resume_ = false;
    response_announced_ = false;
    forwarded_bytes_ = 0;
    reader_.start(body);
    if (state_ == State::idle && earliest_write > phase_started_at_) {
        state_ = State::resting;
        return set_deadline(std::min(deadline_, earliest_write));
    }
    if (state_ == State::idle) {
        set_deadline(std::min(deadline_, delivery_deadline_));
        return write();
    }
    state_ = State::connecting;
    set_deadline(std::min(deadline_, phase_started_at_ + connect_timeout_));
    connect();
}

void HostConnection::end_if_unsent(HostOutcome outcome) {
    if (request_unsent()) finish_without_response(outcome);
}

bool HostConnection::adopt(Descriptor&& socket, std::chrono::microseconds idle_for) {
    error_code ec;
    socket_.assign(endpoint_.protocol(), socket.get(), ec);
    if (ec) return false;
    socket.release();
    socket_.non_blocking(true, ec);
    state_ = State::idle;
    phase_started_at_ = Steady::now() - idle_for;
    read();
    return true;
}

Descriptor HostConnection::release() {
    state_ = State::closed;
    owner_.on_closed(HostCloseReason::handed_over, host_->uid);
    deadline_timer_.cancel();
    error_code ec;
    Descriptor socket(socket_.release(ec));
    slot_.release();
    return socket;
}

void HostConnection::close(HostCloseReason reason) {
    state_ = State::closed;
    owner_.on_closed(reason, host_->uid);
    deadline_timer_.cancel();
    connect_retry_timer_.cancel();
    error_code ec;
    socket_.close(ec);
    slot_.release();
}

void HostConnection::connect() {
    connect_failed_locally_ = false;
    error_code ec;
    socket_.open(endpoint_.protocol(), ec);
    if (ec) return on_connect_failed(ec);
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    socket_.async_connect(endpoint_, [self = shared_from_this()](error_code failed) {
        if (self->state_ != State::connecting) return;
        if (failed) return self->on_connect_failed(failed);
        self->set_deadline(std::min(self->deadline_, self->delivery_deadline_));
        self->read();
        self->write();
    });
}

// Retries the connect after a local failure, until the connect timeout. Any other failure ends the exchange.
void HostConnection::on_connect_failed(error_code failure) {
    if (!is_local_failure(failure)) return finish_without_response(HostOutcome::connect_failed);
    LogLine(LogLevel::debug, "connect_failed_locally")
        .with("host", host_->uid)
        .with("error", failure.message());
    connect_failed_locally_ = true;
    error_code ec;
    socket_.close(ec);
    connect_retry_timer_.expires_after(connect_retry_backoff);
    connect_retry_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->state_ == State::connecting) self->connect();
    });
}

void HostConnection::set_deadline(Steady::time_point when) {
    deadline_timer_.expires_at(when);
    if (when == Steady::time_point::max()) return;
    deadline_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        // The deadline may have been moved after the timer expired and before this handler ran.
        if (!cancelled && self->deadline_timer_.expiry() <= Steady::now()) self->on_deadline();
    });
}

void HostConnection::on_deadline() {
    if (state_ == State::resting) return on_rested();
    if (state_ == State::connecting)
        finish_without_response(connect_failed_locally_ ? HostOutcome::not_started
                                                        : HostOutcome::connect_failed);
    else if (state_ == State::writing || state_ == State::awaiting_response) {
        const auto now = Steady::now();
        if (now < deadline_ && now >= delivery_deadline_) return on_delivery_deadline();
        // The deadline holds for the first bytes of a long response.
        if (stream_arriving(StreamReason::deadline)) return;
        finish_without_response(HostOutcome::timeout);
    }
}

void HostConnection::on_rested() {
    if (Steady::now() >= deadline_ || !has_no_pending_input())
        return finish_without_response(HostOutcome::withdrawn);
    set_deadline(std::min(deadline_, delivery_deadline_));
    write();
}

void HostConnection::on_delivery_deadline() {
    const bool delivered = state_ == State::awaiting_response && is_output_acknowledged(socket_);
    if (!delivered) return finish_without_response(HostOutcome::timeout);
    delivery_deadline_ = Steady::time_point::max();
    set_deadline(deadline_);
}

void HostConnection::write(std::size_t written) {
    state_ = State::writing;
    if (written == 0) update_time_left_header();
    error_code ec;
    written += write_available(socket_, std::string_view(request_buffer_).substr(written), ec);
    if (ec) return finish_without_response(HostOutcome::connect_failed);
    if (written == request_buffer_.size()) {
        state_ = State::awaiting_response;
        return;
    }
    // Waits until the socket is writable and then writes synchronously. Once the last byte is written, the
    // host may execute the request, so the state has to change together with that write: whatever ends the
    // attempt afterwards must not see the request as unsent.
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), written](error_code failed) {
        if (self->state_ != State::writing) return;
        if (failed) return self->finish_without_response(HostOutcome::connect_failed);
        self->write(written);
    });
}

// Writes the time left until the deadline into the header of the buffered request, because connecting may
// have taken a large part of the attempt's time.
void HostConnection::update_time_left_header() {
    const std::string line_start = std::string("\r\n").append(time_left_header).append(": ");
    const std::string_view header =
        std::string_view(request_buffer_).substr(0, request_buffer_.find("\r\n\r\n"));
    const std::size_t line = header.find(line_start);
    if (is_health_check_ || line == std::string::npos) return;
    const std::size_t value = line + line_start.size();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline_ - Steady::now()).count();
    request_buffer_.replace(value, request_buffer_.find("\r\n", value) - value,
                            std::to_string(std::max<std::int64_t>(1, left)));
}

// Waits until the socket is readable and then reads synchronously. An asynchronous read could complete before
// its handler runs, and has_no_pending_input() would not see the bytes that it had consumed.
void HostConnection::read() {
    if (std::exchange(read_pending_, true)) return;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->read_pending_ = false;
        if (self->state_ == State::closed || self->awaiting_resume_) return;
        run_contained(
            "host", [&] { self->on_readable(ec); }, [&] { self->on_handler_error(); });
    });
}

void HostConnection::on_readable(error_code ec) {
    std::size_t bytes = 0;
    if (!ec) bytes = socket_.read_some(reader_.prepare(streaming_), ec);
    if (is_would_block(ec)) return read();
    // A second response to the last request, unrequested bytes, or the end of the stream.
    if (state_ == State::resting) return finish_without_response(HostOutcome::withdrawn);
    if (state_ == State::idle) return close_idle();  // end of stream, error or unrequested bytes
    const bool awaiting_response = state_ == State::awaiting_response;
    if (ec == asio::error::eof && awaiting_response && reader_.finish_at_end_of_stream())
        return finish_with_response();
    if (ec)
        return finish_without_response(awaiting_response ? HostOutcome::reset : HostOutcome::connect_failed);
    reader_.commit(bytes);
    const auto self = shared_from_this();
    const HostResponseReader::Progress progress = reader_.parse();
    if (progress == HostResponseReader::Progress::complete) finish_with_response();
    // A malformed response counts as an error and not as a failed connection, because the host is up and may
    // have executed the request. Otherwise an occasional malformed response would have the host skipped as if
    // it were down.
    if (progress == HostResponseReader::Progress::malformed || !reader_.has_space())
        return finish_without_response(request_unsent() ? HostOutcome::reset : HostOutcome::error);
    if (state_ == State::closed || (reader_.active() && !stream_response())) return;
    read();
}

void HostConnection::on_handler_error() {
    if (state_ == State::idle) return close_idle();
    if (state_ == State::closed) return;
    finish_without_response(request_unsent() ? HostOutcome::connect_failed : HostOutcome::error);
}

void HostConnection::finish_with_response() {
    HostResult result;
    auto message = reader_.release();
    const bool has_length = !message.need_eof();
    result.answer.base() = std::move(message.base());
    result.answer.body() = std::move(message.body());
    const auto load_report = result.answer["Endpoint-Load-Metrics"];
    result.load_report.assign(load_report.data(), load_report.size());
    result.outcome = outcome_of(result.answer);
    const bool reusable = has_length && state_ == State::awaiting_response && result.answer.keep_alive() &&
                          reader_.buffered_bytes() == 0 && has_no_pending_input() &&
                          host_->accepts_requests() && host_->endpoint == endpoint_;
    report_result(std::move(result), reusable);
}

void HostConnection::finish_without_response(HostOutcome outcome) {
    discard_undelivered_output();
    HostResult result;
    result.outcome = outcome;
    if (reader_.active() && reader_.header_complete())
        result.partial_body_bytes = forwarded_bytes_ + reader_.body().size();
    report_result(std::move(result), false);
}

// Lets the close reset the connection if the host's machine has not acknowledged everything. The kernel would
// otherwise still send the rest of the request to a host that reads slowly, which could execute it after the
// delivery deadline or long after the client has left.
void HostConnection::discard_undelivered_output() {
    if (!socket_.is_open() || is_output_acknowledged(socket_)) return;
    error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
}

void HostConnection::report_result(HostResult&& result, bool reusable) {
    const auto self = shared_from_this();
    owner_.on_exchange_ended(self);
    const auto now = Steady::now();
    result.elapsed = streaming_ ? time_to_stream_start_ : elapsed_since_start(now);
    reader_.stop();
    if (reusable) become_idle(now);
    else
        close(has_response(result.outcome) ? HostCloseReason::not_reusable
                                           : HostCloseReason::exchange_failed);
    if (is_health_check_) owner_.on_health_check_result(host_->uid, std::move(result));
    else owner_.on_attempt_result(key_, host_->uid, std::move(result));
}

void HostConnection::become_idle(Steady::time_point now) {
    state_ = State::idle;
    phase_started_at_ = now;
    deadline_timer_.cancel();
    // Releases the buffers of a large exchange.
    reader_.shrink();
    if (request_buffer_.capacity() > max_idle_buffer_bytes) std::string().swap(request_buffer_);
    owner_.on_idle(shared_from_this());
}

void HostConnection::close_idle() {
    const auto self = shared_from_this();
    owner_.on_idle_closing(self);
    close(HostCloseReason::closed_by_host);
}

}  // namespace gateway::server

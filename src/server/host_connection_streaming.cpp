// Implements the part of HostConnection that passes on responses whose end has not arrived.
#include <utility>

#include "host_connection.h"

namespace gateway::server {
using namespace std::chrono_literals;

namespace {
// A streamed response is aborted if its host sends nothing for this long while the gateway is ready to read.
// The client's side of the response is limited by client_limits::write_timeout.
constexpr std::chrono::milliseconds long_response_stall_timeout = 10s;
// The same for a response that may still turn out to be short. Its client waits for the end beyond the
// deadline, which holds for the last byte of a short response.
constexpr std::chrono::milliseconds undecided_response_stall_timeout = 3s;
}  // namespace

void HostConnection::resume_reading() {
    if (!std::exchange(awaiting_resume_, false) || state_ == State::closed) return;
    set_deadline(Steady::now() + stall_timeout());
    read();
}

std::chrono::milliseconds HostConnection::stall_timeout() const {
    const bool undecided = reader_.may_become_long() && forwarded_bytes_ <= max_buffered_body_bytes;
    return undecided ? undecided_response_stall_timeout : long_response_stall_timeout;
}

bool HostConnection::stream_arriving(StreamReason reason) {
    const bool arriving = state_ == State::awaiting_response && response_announced_ && !streaming_;
    if (arriving) begin_streaming(reason);
    return arriving;
}

bool HostConnection::stream_response() {
    if (state_ != State::awaiting_response || !reader_.header_complete()) return true;
    if (!streaming_ && !reader_.needs_streaming()) {
        announce_response();
        return state_ != State::closed && !awaiting_resume_;
    }
    if (!streaming_) {
        time_to_stream_start_ = elapsed_since_start(Steady::now());
        begin_streaming(StreamReason::long_body);
        return false;
    }
    if (reader_.body().empty()) {
        set_deadline(Steady::now() + stall_timeout());
        return true;
    }
    forward_piece();
    return false;
}

void HostConnection::forward_piece() {
    awaiting_resume_ = true;
    set_deadline(Steady::time_point::max());
    forwarded_bytes_ += reader_.body().size();
    owner_.on_response_piece(key_, std::exchange(reader_.body(), {}));
}

void HostConnection::announce_response() {
    if (response_announced_ || is_health_check_ || !reader_.may_become_long()) return;
    response_announced_ = true;
    time_to_stream_start_ = elapsed_since_start(Steady::now());
    const auto self = shared_from_this();
    owner_.on_response_arriving(key_);
}

void HostConnection::begin_streaming(StreamReason reason) {
    streaming_ = true;
    delivery_deadline_ = Steady::time_point::max();
    forwarded_bytes_ += reader_.body().size();
    HostResult result;
    result.outcome = HostOutcome::success;
    result.elapsed = time_to_stream_start_;
    result.stream_reason = reason;
    result.answer.base() = reader_.header();
    result.answer.body() = std::exchange(reader_.body(), {});
    awaiting_resume_ = true;
    // The exchange waits until the client has read the piece. The client's connection has its own timeout.
    set_deadline(Steady::time_point::max());
    const auto self = shared_from_this();
    if (!owner_.on_response_begun(key_, host_->uid, std::move(result))) cancel();
}

}  // namespace gateway::server

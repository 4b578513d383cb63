#include "discovery.h"

#include <algorithm>

#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace beast = boost::beast;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// Discovery regards a change as delivered after some seconds, even if the gateway did not receive it. If the
// agent has stopped responding, a pending watch has to time out well before that, so hold times and response
// timeouts are short. A fleet of more gateways than this uses longer hold times, because its calls would
// otherwise exceed what discovery can serve.
constexpr int max_small_fleet_gateways = 6;
constexpr auto small_fleet_hold = 1000ms;
constexpr auto max_large_fleet_hold = 3000ms;
constexpr auto large_fleet_response_timeout = 1500ms;
constexpr auto backoff_per_gateway = 10ms;
constexpr auto max_large_fleet_backoff = 2000ms;
// Applies to an agent that has the lists at hand and answers without delay.
constexpr auto pushed_list_response_timeout = 100ms;
constexpr auto initial_reconnect_backoff = 5ms;
constexpr auto max_reconnect_backoff = 80ms;
// Discovery regards a change as delivered to a gateway that has made no call for this number of configured
// poll intervals.
constexpr int poll_intervals_after_failure = 4;
// Subtracted from the limits of the response timeout and the backoff, to allow for delays of the event loop.
constexpr auto poll_margin = 50ms;
// Limits the time from the first byte of a response to its last.
constexpr auto max_response_duration = 2s;
// The list of 150,000 hosts takes 23 MB.
constexpr std::size_t max_list_bytes = 32 * 1024 * 1024;
// The response is parsed while it arrives, so unparsed input is at most a header or the bytes of one read.
// Only an endless line in a chunked response would exceed this limit.
constexpr std::size_t max_unread_bytes = max_header_bytes + 64 * 1024;
}  // namespace

// The time from the start of a failed poll to the next call is the response timeout plus the backoff. Each of
// them is limited to half of the time that `max_poll_interval` allows, less the margin.
WatchTiming Discovery::timing_for(int gateways, bool pushed, std::chrono::microseconds max_poll_interval) {
    if (pushed)
        return {WatchTiming{}.hold,        pushed_list_response_timeout, pushed_list_response_timeout,
                initial_reconnect_backoff, max_reconnect_backoff,        true};
    WatchTiming timing = polling_timing(gateways);
    if (max_poll_interval.count() <= 0) return timing;
    const auto max_duration = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  max_poll_interval * poll_intervals_after_failure / 2) -
                              poll_margin;
    for (auto* time : {&timing.response_timeout, &timing.max_response_timeout, &timing.initial_backoff,
                       &timing.max_backoff})
        *time = std::clamp<std::chrono::milliseconds>(max_duration, 1ms, *time);
    return timing;
}

WatchTiming Discovery::polling_timing(int gateways) {
    WatchTiming timing;
    if (gateways <= max_small_fleet_gateways) return timing;
    timing.hold = std::min<std::chrono::milliseconds>(max_large_fleet_hold,
                                                      small_fleet_hold * gateways / max_small_fleet_gateways);
    timing.response_timeout = large_fleet_response_timeout;
    timing.max_response_timeout = large_fleet_response_timeout;
    timing.initial_backoff = std::clamp<std::chrono::milliseconds>(
        backoff_per_gateway * gateways, timing.initial_backoff, max_large_fleet_backoff);
    timing.max_backoff = max_large_fleet_backoff;
    return timing;
}

Discovery::Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint agent, OnList on_list,
                     WatchTiming timing, std::uint64_t seed, std::optional<std::int64_t> known_version)
    : agent_(std::move(agent)),
      on_list_(std::move(on_list)),
      timing_(timing),
      random_(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      response_timeout_(timing.response_timeout),
      backoff_(timing.initial_backoff),
      stream_(io),
      backoff_timer_(io),
      buffer_(max_unread_bytes),
      version_(known_version) {
    start_call();
}
void Discovery::stop() {
    stopped_ = true;
    backoff_timer_.cancel();
    stream_.close();
}

void Discovery::set_agent(const boost::asio::ip::tcp::endpoint& agent) {
    if (stopped_ || agent == agent_) return;
    agent_ = agent;
    failing_ = false;
    response_timeout_ = timing_.response_timeout;
    backoff_ = timing_.initial_backoff;
    reset_connection();
    version_.reset();
    agent_has_answered_ = false;
    backoff_timer_.cancel();
    // The stream allows one operation at a time. If one is pending, the close above aborts it, and its
    // handler starts the poll.
    if (!operation_pending_) start_call();
}
// Closes the stream and increments the generation, so that pending handlers detect that their connection is
// closed.
void Discovery::reset_connection() {
    ++generation_;
    connected_ = false;
    buffer_.consume(buffer_.size());
    stream_.close();
}

// Called when an operation on the stream completes. Returns whether the operation belongs to the current
// connection. If it belongs to an earlier one, starts a call on a new connection and returns false.
bool Discovery::finish_operation(std::size_t generation) {
    operation_pending_ = false;
    if (stopped_) return false;
    if (generation == generation_) return true;
    start_call();
    return false;
}

void Discovery::start_call() {
    if (stopped_) return;
    stream_.expires_after(response_timeout_);
    if (connected_) return send_request();
    operation_pending_ = true;
    stream_.async_connect(agent_, [this, at = generation_](error_code ec) {
        if (!finish_operation(at)) return;
        if (ec) return retry("connect failed");
        connected_ = true;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
        stream_.socket().non_blocking(true, ec);
        send_request();
    });
}

void Discovery::send_request() {
    // After a failed call, an agent that answers without delay is polled. A watch would show that the agent
    // responds again, and confirm the known list, only when it is answered: at the next change or at the end
    // of the hold time.
    is_watch_ = version_ && agent_has_answered_ && !(failing_ && timing_.agent_answers_at_once);
    const auto hold = is_watch_ ? timing_.hold : 0ms;
    request_ = "GET /catalog/members";
    if (version_)
        request_ += "?from=" + std::to_string(*version_) + "&hold_ms=" + std::to_string(hold.count());
    request_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
    // A poll for the complete list is the most expensive call for discovery, and abandoning it early only
    // lengthens discovery's queue. Polls therefore get the longest response timeout.
    stream_.expires_after(hold + (is_watch_ ? response_timeout_ : timing_.max_response_timeout));
    write_request(0);
}

// Writes the request from the byte offset `from` on. If the socket's buffer is full, waits until it is
// writable, within the timeout of the call.
void Discovery::write_request(std::size_t from) {
    error_code ec;
    from += write_available(stream_.socket(), std::string_view(request_).substr(from), ec);
    if (ec) return retry("connection failed while sending the request");
    if (from == request_.size()) return read_response();
    operation_pending_ = true;
    const auto rest = boost::asio::buffer(request_.data() + from, request_.size() - from);
    stream_.async_write_some(rest, [this, from, at = generation_](error_code failed, std::size_t sent) {
        if (!finish_operation(at)) return;
        if (failed) return retry("connection failed while sending the request");
        write_request(from + sent);
    });
}

void Discovery::read_response() {
    parser_.emplace();
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(max_list_bytes);
    response_deadline_.reset();
    read_more();
}

// The response timeout limits the time between two reads. A long list may take longer in total, up to
// `max_response_duration`, as long as more of it keeps arriving.
void Discovery::read_more() {
    operation_pending_ = true;
    http::async_read_some(stream_, buffer_, *parser_, [this, at = generation_](error_code ec, std::size_t) {
        if (!finish_operation(at)) return;
        if (ec == beast::error::timeout) return retry("response timed out", Failure::timed_out);
        if (ec) return retry("connection failed while reading the response");
        if (parser_->is_done()) return on_response();
        const auto now = std::chrono::steady_clock::now();
        if (!response_deadline_) response_deadline_ = now + max_response_duration;
        stream_.expires_at(std::min(*response_deadline_, now + response_timeout_));
        read_more();
    });
}

void Discovery::on_response() {
    const auto answer = parser_->release();
    if (answer.result() != http::status::ok) return retry("response status is not 200", Failure::overloaded);
    if (!answer.keep_alive()) {
        connected_ = false;
        stream_.close();
    }
    on_response_body(answer.body());
}

void Discovery::on_response_body(const std::string& body) {
    EndpointList list;
    try {
        simdjson::dom::parser parser;
        gateway::json::object root;
        if (parser.parse(body).get(root) != simdjson::SUCCESS) return retry("response is not a JSON object");
        list = read_endpoint_list(root);
    } catch (const gateway::json::BadValue& error) {
        return retry(error.what());
    }
    failing_ = false;
    response_timeout_ = timing_.response_timeout;
    backoff_ = timing_.initial_backoff;
    // The agent has restarted its version numbers. A watch from the version known here might never be
    // answered.
    const bool versions_restarted = !list.complete && version_ && list.version < *version_;
    if (versions_restarted) {
        version_.reset();
        return start_call();
    }
    agent_has_answered_ = true;
    version_ = list.version;
    on_list_(list);
    start_call();
}

// Logs the first of consecutive failures. After a failure that may have lost a change, the next call polls
// for the complete list.
void Discovery::retry(const char* cause, Failure failure) {
    const bool first_failure = !std::exchange(failing_, true);
    if (first_failure) LogLine(LogLevel::warning, "discovery_failed").with("reason", cause);
    reset_connection();
    if (failure == Failure::connection_lost) version_.reset();
    // Discovery regards the changes that a timed-out watch misses as delivered after some seconds, so the
    // next call is made without a backoff.
    if (failure == Failure::timed_out && (timing_.agent_answers_at_once || (first_failure && is_watch_)))
        return start_call();
    if (failure == Failure::timed_out)
        response_timeout_ = std::min(timing_.max_response_timeout, response_timeout_ * 2);
    // The delay is random, between half and one and a half times the backoff, so that gateways whose calls
    // failed at the same time do not retry at the same time. A backoff that does not grow has no jitter.
    const auto half = std::chrono::duration_cast<std::chrono::microseconds>(backoff_) / 2;
    const bool steady = timing_.initial_backoff == timing_.max_backoff;
    const auto jitter = half * static_cast<int>(random_() % 1024) / 512;
    backoff_timer_.expires_after(steady ? 2 * half : half + jitter);
    backoff_ = std::min(timing_.max_backoff, backoff_ * 2);
    backoff_timer_.async_wait([this, at = generation_](error_code cancelled) {
        if (!cancelled && at == generation_) start_call();
    });
}

}  // namespace gateway::server

#include "discovery.h"

#include <algorithm>

#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace beast = boost::beast;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// Discovery regards a change as delivered after some seconds, whether it arrived or not. A watch that a
// silent agent holds has to end well before that, so holds and response timeouts are short. More gateways
// than this hold longer, because their calls together would be more than discovery can serve.
constexpr int few_gateways = 6;
constexpr auto hold_of_few = 1000ms;
constexpr auto max_hold = 3000ms;
constexpr auto response_timeout_of_many = 1500ms;
constexpr auto backoff_per_gateway = 10ms;
constexpr auto max_backoff_of_many = 2000ms;
// Of an agent that answers at once.
constexpr auto pushed_response_timeout = 100ms;
constexpr auto initial_reconnect_backoff = 5ms;
constexpr auto max_reconnect_backoff = 80ms;
// A change counts as delivered to a gateway that has not called for so many times the configured poll
// interval. The margin is for an event loop that is late.
constexpr int poll_intervals_after_failure = 4;
constexpr auto poll_margin = 50ms;
// From the first byte of a response to its last.
constexpr auto max_response_duration = 2s;
// The list of 150,000 hosts has 23 MB.
constexpr std::size_t max_list_bytes = 32 * 1024 * 1024;
// The response is parsed while it arrives: what is unread is a header or one read. Only a line without an end
// in a chunked list would be longer.
constexpr std::size_t max_unread_bytes = max_header_bytes + 64 * 1024;
}  // namespace

// The time from one call to the next, which is the response timeout and the backoff after it, stays within
// the poll interval.
WatchTiming Discovery::timing_for(int gateways, bool pushed, std::chrono::microseconds max_poll_interval) {
    if (pushed)
        return {WatchTiming{}.hold,        pushed_response_timeout, pushed_response_timeout,
                initial_reconnect_backoff, max_reconnect_backoff,   true};
    WatchTiming timing = timing_of_polls(gateways);
    if (max_poll_interval.count() <= 0) return timing;
    const auto max_time = std::chrono::duration_cast<std::chrono::milliseconds>(
                              max_poll_interval * poll_intervals_after_failure / 2) -
                          poll_margin;
    for (auto* time : {&timing.response_timeout, &timing.max_response_timeout, &timing.initial_backoff,
                       &timing.max_backoff})
        *time = std::clamp<std::chrono::milliseconds>(max_time, 1ms, *time);
    return timing;
}

WatchTiming Discovery::timing_of_polls(int gateways) {
    WatchTiming timing;
    if (gateways <= few_gateways) return timing;
    timing.hold = std::min<std::chrono::milliseconds>(max_hold, hold_of_few * gateways / few_gateways);
    timing.response_timeout = response_timeout_of_many;
    timing.max_response_timeout = response_timeout_of_many;
    timing.initial_backoff = std::clamp<std::chrono::milliseconds>(
        backoff_per_gateway * gateways, timing.initial_backoff, max_backoff_of_many);
    timing.max_backoff = max_backoff_of_many;
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
    poll();
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
    // A stream has one operation at a time: the handler of one that the close has ended polls.
    if (!operation_pending_) poll();
}
// Handlers that are still pending see that their generation is over.
void Discovery::reset_connection() {
    ++generation_;
    connected_ = false;
    buffer_.consume(buffer_.size());
    stream_.close();
}

// Returns whether an operation that has ended belongs to the current connection. Polls on the current one if
// it does not.
bool Discovery::finish_operation(std::size_t generation) {
    operation_pending_ = false;
    if (stopped_) return false;
    if (generation == generation_) return true;
    poll();
    return false;
}

void Discovery::poll() {
    if (stopped_) return;
    stream_.expires_after(response_timeout_);
    if (connected_) return send_request();
    operation_pending_ = true;
    stream_.async_connect(agent_, [this, at = generation_](error_code ec) {
        if (!finish_operation(at)) return;
        if (ec) return retry("can't be reached");
        connected_ = true;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
        stream_.socket().non_blocking(true, ec);
        send_request();
    });
}

void Discovery::send_request() {
    // An agent that timed out and would answer at once is polled: a watch would not show its return until
    // there is a change, nor would it confirm the known list.
    is_watch_ = version_ && agent_has_answered_ && !(failing_ && timing_.polling_is_free);
    const auto hold = is_watch_ ? timing_.hold : 0ms;
    request_ = "GET /catalog/members";
    if (version_)
        request_ += "?from=" + std::to_string(*version_) + "&hold_ms=" + std::to_string(hold.count());
    request_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
    // A poll for the complete list costs discovery most: one that is given up early only lengthens its queue.
    stream_.expires_after(hold + (is_watch_ ? response_timeout_ : timing_.max_response_timeout));
    write_request(0);
}

// Writes the request from that byte on. Where the socket is full, the stream waits for it, within the call's
// timeout.
void Discovery::write_request(std::size_t from) {
    error_code ec;
    from += write_available(stream_.socket(), std::string_view(request_).substr(from), ec);
    if (ec) return retry("broke off");
    if (from == request_.size()) return read_response();
    operation_pending_ = true;
    const auto rest = boost::asio::buffer(request_.data() + from, request_.size() - from);
    stream_.async_write_some(rest, [this, from, at = generation_](error_code failed, std::size_t sent) {
        if (!finish_operation(at)) return;
        if (failed) return retry("broke off");
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

// The timeout applies to silence: a long list may take longer, within a bound, while it keeps arriving.
void Discovery::read_more() {
    operation_pending_ = true;
    http::async_read_some(stream_, buffer_, *parser_, [this, at = generation_](error_code ec, std::size_t) {
        if (!finish_operation(at)) return;
        if (ec == beast::error::timeout) return retry("is silent", Failure::timed_out);
        if (ec) return retry("broke off");
        if (parser_->is_done()) return on_response();
        const auto now = std::chrono::steady_clock::now();
        if (!response_deadline_) response_deadline_ = now + max_response_duration;
        stream_.expires_at(std::min(*response_deadline_, now + response_timeout_));
        read_more();
    });
}

void Discovery::on_response() {
    const auto answer = parser_->release();
    if (answer.result() != http::status::ok) return retry("answers no list", Failure::overloaded);
    if (!answer.keep_alive()) {
        connected_ = false;
        stream_.close();
    }
    on_body(answer.body());
}

void Discovery::on_body(const std::string& body) {
    EndpointList list;
    try {
        simdjson::dom::parser parser;
        gateway::json::object root;
        if (parser.parse(body).get(root) != simdjson::SUCCESS) return retry("answers no JSON");
        list = read_endpoint_list(root);
    } catch (const gateway::json::BadValue& error) {
        return retry(error.what());
    }
    failing_ = false;
    response_timeout_ = timing_.response_timeout;
    backoff_ = timing_.initial_backoff;
    // The agent has restarted its versions: a watch from the version known here could be held for ever.
    const bool versions_restarted = !list.complete && version_ && list.version < *version_;
    if (versions_restarted) {
        version_.reset();
        return poll();
    }
    agent_has_answered_ = true;
    version_ = list.version;
    on_list_(list);
    poll();
}

// Only the first failure in a row is logged. After one that may have lost a change the complete list is
// polled.
void Discovery::retry(const char* cause, Failure failure) {
    const bool first_failure = !std::exchange(failing_, true);
    if (first_failure) LogLine(LogLevel::warning, "discovery_failed").with("reason", cause);
    reset_connection();
    if (failure == Failure::connection_lost) version_.reset();
    // Discovery regards what a silent watch misses as delivered after some seconds, so there is no time to
    // lose.
    if (failure == Failure::timed_out && (timing_.polling_is_free || (first_failure && is_watch_)))
        return poll();
    if (failure == Failure::timed_out)
        response_timeout_ = std::min(timing_.max_response_timeout, response_timeout_ * 2);
    // Half of the backoff is random, so that gateways that were rejected together do not return together.
    const auto half = std::chrono::duration_cast<std::chrono::microseconds>(backoff_) / 2;
    const bool steady = timing_.initial_backoff == timing_.max_backoff;
    const auto jitter = half * static_cast<int>(random_() % 1024) / 512;
    backoff_timer_.expires_after(steady ? 2 * half : half + jitter);
    backoff_ = std::min(timing_.max_backoff, backoff_ * 2);
    backoff_timer_.async_wait([this, at = generation_](error_code cancelled) {
        if (!cancelled && at == generation_) poll();
    });
}

}  // namespace gateway::server

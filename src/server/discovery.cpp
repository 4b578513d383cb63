#include "discovery.h"

#include <algorithm>

#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace beast = boost::beast;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// What discovery has to tell counts as told some seconds on, whether it came or not: a watch that a silent
// agent lets hang must end well before, so holds are short and patience beyond them is little. More gateways
// than this hold longer, as their calls together would be more than discovery serves.
constexpr int few_gateways = 6;
constexpr auto hold_most = 3000ms, patience_of_many = 1500ms, pause_most_of_many = 2000ms;
// Of an agent that answers at once: it is silent after this, and a connection to it is tried again after
// that.
constexpr auto prompt = 100ms, reconnect_first = 5ms, reconnect_most = 80ms;
// A change counts as told to a gateway that has not called for so many times what the settings name; what
// lies between is for a loop that is late.
constexpr int asks_after_failure = 4;
constexpr auto ask_margin = 50ms;
// From its first byte to its last.
constexpr auto list_time_most = 2s;
// A list of 150,000 hosts has 23 MB. It is taken up as it comes: what stands unread is a header or one read,
// but for a line without an end inside a chunked list.
constexpr std::size_t most_list = 32 * 1024 * 1024, most_unread = most_header + 64 * 1024;
}  // namespace

// From one call to the next, one's patience and the pause after it, stays within what the settings allow.
WatchPace Discovery::pace_among(int gateways, bool pushed, std::chrono::microseconds ask_within) {
    if (pushed) return {WatchPace{}.hold, prompt, prompt, reconnect_first, reconnect_most, true};
    WatchPace pace = pace_of_asked(gateways);
    if (ask_within.count() <= 0) return pace;
    const auto most =
        std::chrono::duration_cast<std::chrono::milliseconds>(ask_within * asks_after_failure / 2) -
        ask_margin;
    for (auto* time : {&pace.patience, &pace.patience_most, &pace.pause_first, &pace.pause_most})
        *time = std::clamp<std::chrono::milliseconds>(most, 1ms, *time);
    return pace;
}

WatchPace Discovery::pace_of_asked(int gateways) {
    WatchPace pace;
    if (gateways <= few_gateways) return pace;
    pace.hold = std::min<std::chrono::milliseconds>(hold_most, 1000ms * gateways / few_gateways);
    pace.patience = pace.patience_most = patience_of_many;
    pace.pause_first =
        std::clamp<std::chrono::milliseconds>(10ms * gateways, pace.pause_first, pause_most_of_many);
    pace.pause_most = pause_most_of_many;
    return pace;
}

Discovery::Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent, OnList on_list,
                     WatchPace pace, std::uint64_t seed, std::optional<std::int64_t> known_version)
    : agent_(agent),
      on_list_(std::move(on_list)),
      pace_(pace),
      random_(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      patience_next_(pace.patience),
      pause_next_(pace.pause_first),
      stream_(io),
      pause_(io),
      buffer_(most_unread),
      version_(known_version) {
    ask();
}
void Discovery::stop() {
    stopped_ = true;
    pause_.cancel();
    stream_.close();
}

void Discovery::move_to(const boost::asio::ip::tcp::endpoint& agent) {
    if (stopped_ || agent == agent_) return;
    agent_ = agent;
    failing_ = false;
    patience_next_ = pace_.patience;
    pause_next_ = pace_.pause_first;
    start_over();
    version_.reset();
    answered_ = false;
    pause_.cancel();
    // Guards against two operations on one stream: one that the close has ended asks when its handler comes.
    if (!under_way_) ask();
}
// Forgets the connection; handlers that are still under way find their generation gone.
void Discovery::start_over() {
    ++generation_;
    connected_ = false;
    buffer_.consume(buffer_.size());
    stream_.close();
}

// Whether an operation that has ended is of the present connection.
bool Discovery::goes_on(std::size_t generation) {
    under_way_ = false;
    if (stopped_) return false;
    if (generation == generation_) return true;
    ask();
    return false;
}

void Discovery::ask() {
    if (stopped_) return;
    stream_.expires_after(patience_next_);
    if (connected_) return send();
    under_way_ = true;
    stream_.async_connect(agent_, [this, at = generation_](error_code ec) {
        if (!goes_on(at)) return;
        if (ec) return ask_anew("can't be reached");
        connected_ = true;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
        stream_.socket().non_blocking(true, ec);
        send();
    });
}

void Discovery::send() {
    // One that was silent and would answer at once is asked for what it has now: a watch would not tell its
    // return until there is news. Nor would it confirm the list known before.
    waits_ = version_ && answered_ && !(failing_ && pace_.free);
    const auto hold = waits_ ? pace_.hold : 0ms;
    request_ = "GET /catalog/members";
    if (version_)
        request_ += "?from=" + std::to_string(*version_) + "&hold_ms=" + std::to_string(hold.count());
    request_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
    // A call for the list as it is costs discovery most: given up early, it only makes the line longer.
    stream_.expires_after(hold + (waits_ ? patience_next_ : pace_.patience_most));
    write(0);
}

// Writes the call on from there. Where the socket is full, the wait for room is the stream's, which ends with
// the time for the call.
void Discovery::write(std::size_t from) {
    error_code ec;
    from += write_available(stream_.socket(), std::string_view(request_).substr(from), ec);
    if (ec) return ask_anew("broke off");
    if (from == request_.size()) return receive();
    under_way_ = true;
    const auto rest = boost::asio::buffer(request_.data() + from, request_.size() - from);
    stream_.async_write_some(rest, [this, from, at = generation_](error_code failed, std::size_t sent) {
        if (!goes_on(at)) return;
        if (failed) return ask_anew("broke off");
        write(from + sent);
    });
}

void Discovery::receive() {
    parser_.emplace();
    parser_->header_limit(most_header);
    parser_->body_limit(most_list);
    whole_by_.reset();
    receive_more();
}

// Patience is for silence, not for length: a long list may take its time, within a bound, while it goes on.
void Discovery::receive_more() {
    under_way_ = true;
    http::async_read_some(stream_, buffer_, *parser_, [this, at = generation_](error_code ec, std::size_t) {
        if (!goes_on(at)) return;
        if (ec == beast::error::timeout) return ask_anew("is silent", Lost::silent);
        if (ec) return ask_anew("broke off");
        if (parser_->is_done()) return take_answer();
        const auto now = std::chrono::steady_clock::now();
        if (!whole_by_) whole_by_ = now + list_time_most;
        stream_.expires_at(std::min(*whole_by_, now + patience_next_));
        receive_more();
    });
}

void Discovery::take_answer() {
    const auto answer = parser_->release();
    if (answer.result() != http::status::ok) return ask_anew("answers no list", Lost::no_room);
    if (!answer.keep_alive()) {
        connected_ = false;
        stream_.close();
    }
    take(answer.body());
}

void Discovery::take(const std::string& body) {
    EndpointList list;
    try {
        simdjson::dom::parser parser;
        gateway::json::object root;
        if (parser.parse(body).get(root) != simdjson::SUCCESS) return ask_anew("answers no JSON");
        list = read_endpoint_list(root);
    } catch (const gateway::json::BadValue& error) {
        return ask_anew(error.what());
    }
    failing_ = false;
    patience_next_ = pace_.patience;
    pause_next_ = pace_.pause_first;
    // It counts its versions anew: a watch from the one known here could hang for good.
    const bool counts_anew = !list.whole && version_ && list.version < *version_;
    if (counts_anew) {
        version_.reset();
        return ask();
    }
    answered_ = true;
    version_ = list.version;
    on_list_(list);
    ask();
}

// Only the first failure of a row is logged. After one that may have cost news the whole list is asked for.
void Discovery::ask_anew(const char* what, Lost lost) {
    const bool first = !std::exchange(failing_, true);
    if (first) LogLine(LogLevel::warning, "discovery_failed").with("cause", what);
    start_over();
    if (lost == Lost::connection) version_.reset();
    // What a silent watch misses counts as told some seconds on: it has waited long enough.
    if (lost == Lost::silent && (pace_.free || (first && waits_))) return ask();
    if (lost == Lost::silent) patience_next_ = std::min(pace_.patience_most, patience_next_ * 2);
    // Half of it by chance, so that those turned away together do not come again together.
    const auto half = std::chrono::duration_cast<std::chrono::microseconds>(pause_next_) / 2;
    const bool steady = pace_.pause_first == pace_.pause_most;
    const auto by_chance = half * static_cast<int>(random_() % 1024) / 512;
    pause_.expires_after(steady ? 2 * half : half + by_chance);
    pause_next_ = std::min(pace_.pause_most, pause_next_ * 2);
    pause_.async_wait([this, at = generation_](error_code stopped) {
        if (!stopped && at == generation_) ask();
    });
}

}  // namespace gateway::server

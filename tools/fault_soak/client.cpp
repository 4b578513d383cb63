#include "client.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <iterator>

#include "watchdog.h"

namespace fault_soak {
namespace {

constexpr double mean_think_time_ms = 120;
constexpr Duration no_gateway_retry_delay = 50ms;
// One request in `idle_pause_one_in` is preceded by a pause of this length plus less than
// `idle_pause_spread_ms` milliseconds, so that the request coincides with the close of the idle connection by
// the gateway.
constexpr Duration idle_pause = 9900ms;
constexpr int idle_pause_spread_ms = 200;
constexpr int idle_pause_one_in = 150;
// Each client has a preferred gateway. While that gateway is in rotation, the client sends it this many of
// ten requests and selects a random gateway for each of the others.
constexpr int preferred_gateway_in_ten = 8;
constexpr int customers_per_plan = 20;
// One request in `short_timeout_one_in` gets a timeout of at most `short_timeout_ms` milliseconds.
constexpr int short_timeout_one_in = 25;
constexpr int short_timeout_ms = 30;
// One request in `in_pieces_one_in` is written in two pieces, with a pause of less than
// `piece_pause_limit_ms` milliseconds between them.
constexpr int in_pieces_one_in = 8;
constexpr int piece_pause_limit_ms = 40;
constexpr std::size_t body_bytes = 200;
constexpr std::size_t large_body_bytes = 20000;
constexpr int large_body_one_in = 10;
// Time after the deadline of a request during which its client still waits for the response.
constexpr Duration response_grace = 700ms;
// Time without a further byte after which a client gives up a response that may be long.
constexpr Duration long_response_patience = 5s;
constexpr std::size_t max_short_body_bytes = 64 * 1024;
constexpr std::size_t max_body_bytes = std::size_t{32} << 20;
// A gateway that closes a connection this long after a request was sent must have read the request.
constexpr Duration unread_close_limit = 300ms;
// For one request in this many, the client disconnects before it receives the response. The first number
// applies while ClientBehaviour::disconnects_early is set, the second one otherwise.
constexpr int early_disconnect_one_in = 3;
constexpr int usual_disconnect_one_in = 25;
// A client that disconnects early does so within this time after the request.
constexpr Duration max_time_to_disconnect = 60ms;
// A client disconnects early only if more than this time is left until the deadline.
constexpr Duration min_time_left_to_disconnect = 10ms;

std::string hex16(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

// A request class, with the name and idempotency that it has in the configuration of the gateways.
struct Client::RequestClass {
    Idempotency idempotency;
    const char* method;
    const char* name;
    int shortest_timeout_ms;
    int longest_timeout_ms;
};

Client::Client(asio::io_context& io, int number, std::uint64_t seed, const LoadBalancer& load_balancer,
               const ClientBehaviour& behaviour, Oracle& oracle)
    : io_(io),
      number_(number),
      random_(seed),
      load_balancer_(load_balancer),
      behaviour_(behaviour),
      oracle_(oracle),
      socket_(io) {}

Task Client::run() {
    std::exponential_distribution<double> think_time_ms(1 / mean_think_time_ms);
    while (!behaviour_.stopped) {
        co_await sleep_for(
            io_, std::chrono::microseconds(static_cast<std::int64_t>(think_time_ms(random_) * 1000)));
        if (random_() % idle_pause_one_in == 0)
            co_await sleep_for(
                io_, idle_pause + Duration(static_cast<std::int64_t>(random_() % idle_pause_spread_ms)));
        const int gateway = choose_gateway();
        if (gateway < 0) {
            co_await sleep_for(io_, no_gateway_retry_delay);
            continue;
        }
        if (!socket_.is_open() || gateway != gateway_) co_await connect(gateway);
        if (socket_.is_open()) co_await exchange(draw_request());
    }
}

int Client::choose_gateway() {
    // A client uses its open connection until the gateway closes it, also if new connections go elsewhere.
    if (socket_.is_open() && gateway_ >= 0 && !load_balancer_.in_rotation[static_cast<std::size_t>(gateway_)])
        return gateway_;
    const int count = static_cast<int>(load_balancer_.gateways.size());
    const int preferred = number_ % count;
    const auto& in_rotation = load_balancer_.in_rotation;
    if (in_rotation[static_cast<std::size_t>(preferred)] && random_() % 10 < preferred_gateway_in_ten)
        return preferred;
    for (int tries = 0; tries < count; ++tries) {
        const int gateway = static_cast<int>(random_() % static_cast<std::uint64_t>(count));
        if (in_rotation[static_cast<std::size_t>(gateway)]) return gateway;
    }
    return -1;
}

Task Client::connect(int gateway) {
    error_code error;
    socket_.close(error);
    buffer_.consume(buffer_.size());
    reused_ = false;
    gateway_ = gateway;
    socket_ = tcp::socket(io_);
    co_await socket_.async_connect(load_balancer_.gateways[static_cast<std::size_t>(gateway)], into(error));
    if (error) socket_.close(error);
    else socket_.set_option(tcp::no_delay(true), error);
}

Client::Request Client::draw_request() {
    static constexpr RequestClass request_classes[] = {
        {Idempotency::idempotent, "GET", "read", 150, 800},
        {Idempotency::with_key, "POST", "book", 300, 1500},
        {Idempotency::not_idempotent, "POST", "pay", 300, 1200}};
    const RequestClass& request_class = request_classes[random_() % std::size(request_classes)];
    Request request;
    ++request_count_;
    request.trace = hex16((static_cast<std::uint64_t>(number_) << 32) + request_count_);
    request.idempotency = request_class.idempotency;
    const int timeout_ms = draw_timeout_ms(request_class);
    request.deadline = Clock::now() + Duration(timeout_ms);
    request.text = request_text(request_class, request.trace, timeout_ms);
    return request;
}

int Client::draw_timeout_ms(const RequestClass& request_class) {
    const int spread_ms = request_class.longest_timeout_ms - request_class.shortest_timeout_ms;
    const int timeout_ms = request_class.shortest_timeout_ms +
                           static_cast<int>(random_() % static_cast<std::uint64_t>(spread_ms));
    if (random_() % short_timeout_one_in == 0) return 1 + timeout_ms % short_timeout_ms;
    return timeout_ms;
}

std::string Client::request_text(const RequestClass& request_class, const std::string& trace,
                                 int timeout_ms) {
    const bool metered = random_() % 2 == 0;
    const std::uint64_t customer = random_() % customers_per_plan + (metered ? customers_per_plan : 0);
    std::string text;
    text.append(request_class.method).append(" /api/").append(trace).append(" HTTP/1.1\r\n");
    text.append("Host: origin.svc\r\n");
    text.append("X-Trace-Id: ").append(trace).append("\r\n");
    text.append("X-Qos: ").append(request_class.name).append("\r\n");
    text.append("X-Contract: ").append(metered ? "metered" : "open").append("\r\n");
    text.append("X-Client-Id: ").append(hex16(customer)).append("\r\n");
    text.append("X-Expires-In-Ms: ").append(std::to_string(timeout_ms)).append("\r\n");
    text.append("X-Metering: units=1,spread=")
        .append(std::to_string(load_balancer_.gateways.size()))
        .append(",first=0\r\n");
    if (request_class.idempotency == Idempotency::with_key)
        text.append("Idempotency-Key: k").append(trace).append("\r\n");
    if (request_class.idempotency == Idempotency::idempotent) return text.append("\r\n");
    const std::size_t size = random_() % large_body_one_in == 0 ? large_body_bytes : body_bytes;
    text.append("Content-Length: ").append(std::to_string(size)).append("\r\n\r\n").append(size, 'b');
    return text;
}

Task Client::exchange(Request request) {
    error_code error;
    if (random_() % in_pieces_one_in == 0) {
        co_await write_in_pieces(request, error);
    } else {
        request.sent = Clock::now();
        oracle_.request_sent(request.trace, request.idempotency, gateway_, request.sent, request.deadline);
        co_await asio::async_write(socket_, asio::buffer(request.text), into(error));
    }
    bool closed_unread = false;
    if (error && reused_) closed_unread = true;
    else if (error) oracle_.excuse(request.trace, "the request could not be written completely");
    if (!error) co_await await_response(request, closed_unread);
    if (closed_unread) co_await resend(request);
    else if (error) socket_.close(error);
}

// The deadline of a request counts from its last byte, so the pause postpones it.
Task Client::write_in_pieces(Request& request, error_code& error) {
    const std::size_t half = request.text.size() / 2;
    co_await asio::async_write(socket_, asio::buffer(request.text.data(), half), into(error));
    const Duration piece_pause(static_cast<std::int64_t>(random_() % piece_pause_limit_ms));
    co_await sleep_for(io_, piece_pause);
    request.deadline += piece_pause;
    request.sent = Clock::now();
    oracle_.request_sent(request.trace, request.idempotency, gateway_, request.sent, request.deadline);
    if (error) co_return;
    co_await asio::async_write(socket_, asio::buffer(request.text.data() + half, request.text.size() - half),
                               into(error));
}

Task Client::resend(Request request) {
    co_await connect(gateway_);
    if (!socket_.is_open())
        co_return oracle_.excuse(request.trace, "the gateway no longer accepts connections");
    request.sent = Clock::now();
    oracle_.request_resent(request.trace, gateway_, request.sent);
    error_code error;
    co_await asio::async_write(socket_, asio::buffer(request.text), into(error));
    bool closed_unread = false;
    if (!error) co_await await_response(request, closed_unread);
    else oracle_.closed_unanswered(request.trace, Clock::now(), false);
}

Task Client::await_response(const Request& request, bool& closed_unread) {
    const int disconnect_one_in =
        behaviour_.disconnects_early ? early_disconnect_one_in : usual_disconnect_one_in;
    const bool disconnects = random_() % disconnect_one_in == 0;
    const auto time_left = std::chrono::duration_cast<Duration>(request.deadline - Clock::now());
    const Time until = disconnects && time_left > min_time_left_to_disconnect
                           ? draw_disconnect(time_left)
                           : request.deadline + response_grace + behaviour_.slack;
    ResponseParser parser;
    parser.body_limit(max_body_bytes);
    error_code error;
    bool given_up = false;
    {
        Watchdog watchdog(io_, socket_, until);
        co_await http::async_read_header(socket_, buffer_, parser, into(error));
        given_up = watchdog.fired();
    }
    const Time first_byte_at = Clock::now();
    if (!error && !given_up) {
        const auto length = parser.content_length();
        const bool may_be_long = !length || *length > max_short_body_bytes;
        given_up = co_await read_body(
            parser, disconnects || !may_be_long ? std::optional(until) : std::nullopt, error);
    }
    if (given_up) {
        if (disconnects) oracle_.client_disconnected(request.trace, until);
        co_return;
    }
    record_response(request, error, parser, first_byte_at, closed_unread);
}

asio::awaitable<bool> Client::read_body(ResponseParser& parser, std::optional<Time> until,
                                        error_code& error) {
    parser.eager(true);
    while (!error && !parser.is_done()) {
        Watchdog watchdog(io_, socket_, until.value_or(Clock::now() + long_response_patience));
        co_await http::async_read_some(socket_, buffer_, parser, into(error));
        if (watchdog.fired()) co_return true;
    }
    co_return false;
}

Time Client::draw_disconnect(Duration time_left) {
    const auto limit = static_cast<std::uint64_t>(std::min(time_left, max_time_to_disconnect).count());
    return Clock::now() + Duration(static_cast<std::int64_t>(random_() % limit));
}

void Client::record_response(const Request& request, error_code error, const ResponseParser& parser,
                             Time first_byte_at, bool& closed_unread) {
    const Time now = Clock::now();
    error_code ignored;
    if (!error) {
        const auto& response = parser.get();
        oracle_.response_received(request.trace, response.result_int(), response.body(), first_byte_at, now);
        reused_ = true;
        if (!response.keep_alive()) socket_.close(ignored);
        return;
    }
    socket_.close(ignored);
    // A response that breaks off after its first bytes counts as failed and not as unanswered, because the
    // client can see that the response is incomplete.
    if (parser.got_some()) return oracle_.response_received(request.trace, 0, {}, first_byte_at, now);
    const bool read = now > request.sent + unread_close_limit + behaviour_.slack;
    closed_unread = reused_ && !read;
    if (closed_unread) return;
    if (!reused_ && behaviour_.crowded[static_cast<std::size_t>(gateway_)])
        return oracle_.excuse(request.trace, "a crowded gateway closed a new connection");
    oracle_.closed_unanswered(request.trace, now, read);
}

}  // namespace fault_soak

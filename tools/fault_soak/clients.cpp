#include "clients.h"

#include <algorithm>
#include <memory>

#include "text.h"

namespace fault_soak {
namespace {
constexpr double think_ms = 120;
constexpr Span patience_after_deadline = 700ms, no_gateway_pause = 50ms;
constexpr int own_gateway_in_ten = 8, customers = 20, one_in_pieces_of = 8, one_leaver_of = 3,
              one_leaver_always_of = 25;
constexpr Span bad_client_owed = 3s;
constexpr Span rest = 9900ms, leaves_within = 60ms;
constexpr int one_rest_of = 150, one_in_a_hurry_of = 25, hurry_ms = 30;
constexpr std::size_t flood_bytes = std::size_t{4} << 20;

struct RequestKind {
    Effect effect;
    const char* method;
    const char* qos;
    int least_ms, most_ms;  // that it waits
};
constexpr RequestKind kinds[] = {{Effect::safe, "GET", "read", 150, 800},
                                 {Effect::keyed, "POST", "book", 300, 1500},
                                 {Effect::unsafe, "POST", "pay", 300, 1200}};

std::string hex16(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

// Closes a socket after a while, unless it is let go before.
class Watchdog {
  public:
    Watchdog(asio::io_context& io, tcp::socket& socket, Time at)
        : timer_(std::make_shared<asio::steady_timer>(io, at)), fired_(std::make_shared<bool>(false)) {
        timer_->async_wait([&socket, fired = fired_, timer = timer_](error_code stopped) {
            if (stopped) return;
            *fired = true;
            error_code ec;
            socket.close(ec);
        });
    }
    ~Watchdog() { timer_->cancel(); }
    bool fired() const { return *fired_; }

  private:
    std::shared_ptr<asio::steady_timer> timer_;
    std::shared_ptr<bool> fired_;
};
}  // namespace

Client::Client(asio::io_context& io, int number, std::uint64_t seed, const Front& front,
               const ClientMood& mood, Oracle& oracle)
    : io_(io), number_(number), random_(seed), front_(front), mood_(mood), oracle_(oracle), socket_(io) {}

Task Client::run() {
    std::exponential_distribution<double> think(1 / think_ms);
    while (!mood_.over) {
        co_await pause(io_, std::chrono::microseconds(static_cast<std::int64_t>(think(random_) * 1000)));
        // Some rest for so long that their gateway ends the connection about when they ask again.
        if (random_() % one_rest_of == 0)
            co_await pause(io_, rest + Span(static_cast<std::int64_t>(random_() % 200)));
        const int gateway = choose_gateway();
        if (gateway < 0) {
            co_await pause(io_, no_gateway_pause);
            continue;
        }
        if (!socket_.is_open() || gateway != gateway_) co_await connect(gateway);
        if (socket_.is_open()) co_await exchange(draw_request());
    }
}

int Client::choose_gateway() {
    const int all = static_cast<int>(front_.gateways.size());
    const int own = number_ % all;
    if (front_.admitted[static_cast<std::size_t>(own)] && random_() % 10 < own_gateway_in_ten) return own;
    for (int tries = 0; tries < all; ++tries) {
        const int gateway = static_cast<int>(random_() % static_cast<std::uint64_t>(all));
        if (front_.admitted[static_cast<std::size_t>(gateway)]) return gateway;
    }
    return -1;
}

Task Client::connect(int gateway) {
    error_code ec;
    socket_.close(ec);
    buffer_.consume(buffer_.size());
    used_ = false;
    gateway_ = gateway;
    socket_ = tcp::socket(io_);
    co_await socket_.async_connect(front_.gateways[static_cast<std::size_t>(gateway)], into(ec));
    if (ec) socket_.close(ec);
    else socket_.set_option(tcp::no_delay(true), ec);
}

Client::Sent Client::draw_request() {
    const RequestKind& kind = kinds[random_() % std::size(kinds)];
    Sent sent;
    sent.trace = hex16((static_cast<std::uint64_t>(number_) << 32) + ++sent_);
    sent.effect = kind.effect;
    int wait_ms = kind.least_ms +
                  static_cast<int>(random_() % static_cast<std::uint64_t>(kind.most_ms - kind.least_ms));
    if (random_() % one_in_a_hurry_of == 0) wait_ms = 1 + wait_ms % hurry_ms;
    sent.deadline = Clock::now() + Span(wait_ms);
    const bool metered = random_() % 2 == 0;
    std::string& text = sent.text;
    text.append(kind.method).append(" /api/").append(sent.trace).append(" HTTP/1.1\r\nHost: origin.svc\r\n");
    text.append("X-Trace-Id: ").append(sent.trace).append("\r\nX-Qos: ").append(kind.qos);
    text.append("\r\nX-Contract: ").append(metered ? "metered" : "open");
    text.append("\r\nX-Client-Id: ").append(hex16(random_() % customers + (metered ? customers : 0)));
    text.append("\r\nX-Expires-In-Ms: ").append(std::to_string(wait_ms));
    text.append("\r\nX-Metering: units=1,spread=")
        .append(std::to_string(front_.gateways.size()))
        .append(",first=0\r\n");
    if (kind.effect == Effect::keyed) text.append("Idempotency-Key: k").append(sent.trace).append("\r\n");
    if (kind.effect != Effect::safe) {
        const std::size_t size = random_() % 10 == 0 ? 20000 : 200;
        text.append("Content-Length: ").append(std::to_string(size)).append("\r\n\r\n").append(size, 'b');
    } else {
        text.append("\r\n");
    }
    return sent;
}

Task Client::exchange(Sent request) {
    error_code ec;
    // Some write slowly: the time of a request counts from its last byte.
    if (random_() % one_in_pieces_of == 0) {
        const std::size_t half = request.text.size() / 2;
        co_await asio::async_write(socket_, asio::buffer(request.text.data(), half), into(ec));
        const Span between(static_cast<std::int64_t>(random_() % 40));
        co_await pause(io_, between);
        request.deadline += between;
        oracle_.sent(request.trace, request.effect, gateway_, Clock::now(), request.deadline);
        if (!ec)
            co_await asio::async_write(
                socket_, asio::buffer(request.text.data() + half, request.text.size() - half), into(ec));
    } else {
        oracle_.sent(request.trace, request.effect, gateway_, Clock::now(), request.deadline);
        co_await asio::async_write(socket_, asio::buffer(request.text), into(ec));
    }
    bool again = false;
    if (ec && used_) again = true;  // it ended between two requests
    else if (ec) oracle_.excuse(request.trace, "not written whole");
    if (!ec) co_await await_answer(request, again);
    if (again) co_await send_again(request);
    else if (ec) socket_.close(ec);
}

// A connection that ends between two requests may cross one that has not been read: it goes once more, on a
// new one.
Task Client::send_again(const Sent& request) {
    co_await connect(gateway_);
    if (!socket_.is_open())
        co_return oracle_.excuse(request.trace, "its gateway takes no connections any more");
    oracle_.sent_again(request.trace, gateway_, Clock::now());
    error_code ec;
    co_await asio::async_write(socket_, asio::buffer(request.text), into(ec));
    bool again = false;
    if (!ec) co_await await_answer(request, again);
    else oracle_.closed_unanswered(request.trace, Clock::now());
}

Task Client::await_answer(const Sent& request, bool& again) {
    const bool leaves = random_() % (mood_.leaves_early ? one_leaver_of : one_leaver_always_of) == 0;
    const Span left = std::chrono::duration_cast<Span>(request.deadline - Clock::now());
    const Time until =
        leaves && left > 10ms
            ? Clock::now() +
                  Span(static_cast<std::int64_t>(
                      random_() % static_cast<std::uint64_t>(std::min(left, leaves_within).count())))
            : request.deadline + patience_after_deadline + mood_.slack;
    Watchdog watchdog(io_, socket_, until);
    http::response_parser<http::string_body> parser;
    error_code ec;
    co_await http::async_read(socket_, buffer_, parser, into(ec));
    if (watchdog.fired()) {
        if (leaves) oracle_.left(request.trace, until);
        co_return;
    }
    judge(request, ec, parser, again);
}

void Client::judge(const Sent& request, error_code ec, const http::response_parser<http::string_body>& parser,
                   bool& again) {
    const Time now = Clock::now();
    error_code ignored;
    if (!ec) {
        const auto& answer = parser.get();
        oracle_.answered(request.trace, answer.result_int(), answer.body(), now);
        used_ = true;
        if (!answer.keep_alive()) socket_.close(ignored);
        return;
    }
    socket_.close(ignored);
    // Begun and broken off, so that the client can tell: it has failed.
    if (parser.got_some()) return oracle_.answered(request.trace, 0, {}, now);
    again = used_;
    if (!again) oracle_.closed_unanswered(request.trace, now);
}

namespace {
std::string bad_text(std::uint64_t chance) {
    const std::string chunked = "POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    switch (chance % 7) {
        case 0:
            return {};
        case 1:
            return "\x16\x03\x01 this is no request\r\n\r\n";
        case 2:
            return "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: ";
        case 3:
            return "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nhalf";
        case 4:
            return chunked + "1;" + std::string(200'000, '1');
        case 5:
            return chunked + "0\r\nX-Trailer: " + std::string(200'000, '1');
        default:
            return std::string(flood_bytes, 'x');
    }
}
}  // namespace

Task run_bad_client(asio::io_context& io, tcp::endpoint gateway, std::uint64_t chance, Span slack,
                    std::function<bool()> gateway_lives, Oracle& oracle) {
    tcp::socket socket(io);
    error_code ec;
    co_await socket.async_connect(gateway, into(ec));
    if (ec) co_return;
    const Time begin = Clock::now();
    const std::string text = bad_text(chance);
    Watchdog watchdog(io, socket, begin + bad_client_owed + slack + 100ms);
    // What the gateway ends early can't be written whole, which is its right.
    co_await asio::async_write(socket, asio::buffer(text), into(ec));
    std::array<char, 512> bytes;
    if (!watchdog.fired()) co_await socket.async_read_some(asio::buffer(bytes), into(ec));
    if (watchdog.fired() && gateway_lives())
        oracle.violate(Rule::bad_client_kept, "", concat("a bad client (kind ", chance % 7, ")"),
                       Clock::now());
}

}  // namespace fault_soak

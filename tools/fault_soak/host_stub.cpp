#include "host_stub.h"

#include <cstdlib>

#include "text.h"

namespace fault_soak {
namespace {
constexpr int most_at_work = 6;  // requests; more are turned away
constexpr double usual_work_ms = 15, slow_work_ms = 400;
constexpr Span hang_look = 20ms, late_second_answer = 5ms;
constexpr Span idle_look = 50ms, idle_most = 3s;  // as the settings of the run have it
constexpr std::size_t large_body = 200 * 1024;
constexpr int one_large_in = 50;

std::string head(unsigned status, const std::string& fields, std::size_t length) {
    return concat("HTTP/1.1 ", status, " X\r\n", fields, "Content-Length: ", length, "\r\n\r\n");
}
const std::string load_report = "Endpoint-Load-Metrics: TEXT outstanding=1, backlog=0\r\n";
}  // namespace

HostStub::HostStub(asio::io_context& io, int number, std::string zone, std::uint64_t seed, Oracle& oracle)
    : io_(io),
      number_(number),
      zone_(std::move(zone)),
      oracle_(oracle),
      random_(seed),
      listener_(io, any_port()) {
    asio::co_spawn(io, accept(), asio::detached);
    asio::co_spawn(io, end_idle(), asio::detached);
}

void HostStub::set_mode(HostMode mode) {
    mode_ = mode;
    if (mode != HostMode::down && mode != HostMode::resets) return;
    for (const auto& weak : std::exchange(connections_, {}))
        if (const auto connection = weak.lock()) reset(connection->socket);
}
void HostStub::drop_idle(bool with_reset) {
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        if (!connection || connection->busy) continue;
        error_code ec;
        if (with_reset) reset(connection->socket);
        else connection->socket.close(ec);
    }
}
// As the protocol has it: a connection that has stood idle for the settings' time ends.
Task HostStub::end_idle() {
    for (;;) {
        co_await pause(io_, idle_look);
        for (const auto& weak : connections_) {
            const auto connection = weak.lock();
            error_code ec;
            if (connection && !connection->busy && Clock::now() - connection->used >= idle_most)
                connection->socket.close(ec);
        }
    }
}

Task HostStub::accept() {
    for (;;) {
        error_code ec;
        auto connection = std::make_shared<Connection>(co_await listener_.async_accept(into(ec)));
        if (ec) co_return;
        std::erase_if(connections_, [](const auto& old) { return old.expired(); });
        connections_.push_back(connection);
        if (mode_ == HostMode::down) reset(connection->socket);
        else asio::co_spawn(io_, serve(std::move(connection)), asio::detached);
    }
}

HostStub::Exchange HostStub::take_in(const HttpRequest& request, const FaultProxy::Origin& origin) {
    Exchange exchange;
    exchange.trace = std::string(request["X-Trace-Id"]);
    const std::int64_t told_ms = std::atoll(std::string(request["X-Expires-In-Ms"]).c_str());
    exchange.attempt = oracle_.attempt(exchange.trace, origin.gateway, number_, zone_, origin.first_byte,
                                       Clock::now(), told_ms);
    return exchange;
}

Task HostStub::serve(std::shared_ptr<Connection> connection) {
    tcp::socket* const socket = &connection->socket;
    error_code ec;
    socket->set_option(tcp::no_delay(true), ec);
    const std::uint16_t port = socket->remote_endpoint(ec).port();
    boost::beast::flat_buffer buffer;
    while (socket->is_open()) {
        HttpRequest request;
        connection->busy = false;
        connection->used = Clock::now();
        co_await http::async_read(*socket, buffer, request, into(ec));
        if (ec) co_return;
        connection->busy = true;
        const FaultProxy::Origin* const origin = proxy_->origin(port);
        if (origin == nullptr) co_return;
        if (request.target() == "/_load" || request.target() == "/ping") {
            while (mode_ == HostMode::hangs) co_await pause(io_, hang_look);
            co_await say(*socket, head(200, load_report, 0));
            continue;
        }
        const Exchange exchange = take_in(request, *origin);
        co_await answer(*socket, exchange);
    }
}

Task HostStub::say(tcp::socket& socket, std::string text) {
    error_code ec;
    co_await asio::async_write(socket, asio::buffer(text), into(ec));
}

Task HostStub::answer(tcp::socket& socket, const Exchange& exchange) {
    while (mode_ == HostMode::hangs) co_await pause(io_, hang_look);
    const auto says = [&](Oracle::HostSays what, const std::string& body = {}) {
        oracle_.attempt_answered(exchange.trace, exchange.attempt, what, body);
    };
    if (mode_ == HostMode::errors && random_() % 2 == 0) {
        says(Oracle::HostSays::never_ran);
        co_return co_await say(socket, head(503, "X-Never-Ran: 1\r\n", 0));
    }
    if (at_work_ >= most_at_work) {
        says(Oracle::HostSays::never_ran);
        co_return co_await say(socket, head(503, "X-Never-Ran: 1\r\n", 0));
    }
    std::exponential_distribution<double> work(1 / (mode_ == HostMode::slow ? slow_work_ms : usual_work_ms));
    ++at_work_;
    co_await pause(io_, std::chrono::microseconds(static_cast<std::int64_t>(work(random_) * 1000)));
    --at_work_;
    if (mode_ == HostMode::errors) {
        says(Oracle::HostSays::failed);
        co_return co_await say(socket, head(500, "", 0));
    }
    if (mode_ == HostMode::resets && random_() % 2 == 0) co_return reset(socket);
    if (mode_ == HostMode::spoils) co_return co_await answer_spoilt(socket, exchange);
    std::string body = concat(exchange.trace, ":", number_, ":", ++served_);
    if (random_() % one_large_in == 0) body.append(large_body, 'x');
    says(Oracle::HostSays::served, body);
    co_await say(socket, head(200, load_report, body.size()) + body);
}

// Its text is built here from plain pieces: a spoilt answer must not pass for one that was given.
Task HostStub::answer_spoilt(tcp::socket& socket, const Exchange& exchange) {
    const std::string body = exchange.trace + ":spoilt";
    std::string half = head(200, "", body.size() + 100) + body;
    std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    std::string open_end = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
    switch (random_() % 5) {
        case 0:  // cut in the middle
            co_await say(socket, half);
            co_return reset(socket);
        case 1:
            endless.append(large_body, '1');
            co_return co_await say(socket, endless);
        case 2:  // no length, and a reset in place of the end
            co_await say(socket, open_end);
            co_return reset(socket);
        case 3:
            co_return co_await say(socket, "nothing that HTTP knows\r\n\r\n");
        default:  // a second answer some milliseconds behind the first
            oracle_.attempt_answered(exchange.trace, exchange.attempt, Oracle::HostSays::served, body);
            co_await say(socket, head(200, "", body.size()) + body);
            co_await pause(io_, late_second_answer);
            co_await say(socket, head(200, "", 6) + "second");
    }
}

}  // namespace fault_soak

#include "host_stub.h"

#include <cstdio>
#include <cstdlib>
#include <limits>

#include "text.h"

namespace fault_soak {
namespace {

using Outcome = Oracle::HostOutcome;

// Upper limit of the requests that a host executes at the same time. Further requests are rejected without
// being executed.
constexpr int max_in_flight = 6;
constexpr double mean_work_ms = 15;
constexpr double mean_slow_work_ms = 400;
constexpr Duration mode_poll_interval = 20ms;
constexpr Duration second_response_delay = 5ms;
constexpr Duration idle_poll_interval = 50ms;
// Equal to connIdleUs in the configuration of the gateways.
constexpr Duration idle_timeout = 3s;
constexpr std::size_t large_body_bytes = 200 * 1024;
constexpr int large_body_one_in = 50;
// Long responses that are written slowly have at least and less than this many bytes.
constexpr std::size_t min_slow_body_bytes = 70'000;
constexpr std::size_t max_slow_body_bytes = 220'000;
constexpr std::size_t steady_piece_bytes = 5000;
constexpr Duration steady_pause = 50ms;
constexpr std::size_t lump_bytes = 62'000;
constexpr Duration shortest_lump_pause = 300ms;
constexpr std::uint64_t lump_pause_spread_ms = 900;
// A response that hangs has fewer bytes than a long one.
constexpr std::size_t hanging_body_bytes = 5000;
constexpr int hanging_response_one_in = 8;
constexpr Duration slow_read_pause = 30ms;
constexpr std::size_t slow_read_bytes = 2048;
constexpr const char* not_executed_field = "X-Never-Ran: 1\r\n";
constexpr const char* load_report_field = "Endpoint-Load-Metrics: TEXT outstanding=1, backlog=0\r\n";

std::string to_hex(std::size_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%zx", number);
    return text;
}

std::string response_head(unsigned status, const std::string& fields, std::size_t length) {
    return concat("HTTP/1.1 ", status, " X\r\n", fields, "Content-Length: ", length, "\r\n\r\n");
}

}  // namespace

HostStub::HostStub(asio::io_context& io, int number, std::string zone, std::uint64_t seed, Oracle& oracle)
    : io_(io),
      number_(number),
      zone_(std::move(zone)),
      oracle_(oracle),
      random_(seed),
      listener_(io, any_port()) {
    asio::co_spawn(io, accept(), asio::detached);
    asio::co_spawn(io, close_idle_connections(), asio::detached);
}

void HostStub::set_mode(HostMode mode) {
    mode_ = mode;
    if (mode != HostMode::down && mode != HostMode::resetting) return;
    for (const auto& weak : std::exchange(connections_, {}))
        if (const auto connection = weak.lock()) reset(connection->socket);
}

void HostStub::drop_idle(bool with_reset) {
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        if (!connection || connection->busy) continue;
        error_code ignored;
        if (with_reset) reset(connection->socket);
        else connection->socket.close(ignored);
    }
}

// The protocol requires a host to close a connection that has been idle for the configured time.
Task HostStub::close_idle_connections() {
    for (;;) {
        co_await sleep_for(io_, idle_poll_interval);
        for (const auto& weak : connections_) {
            const auto connection = weak.lock();
            error_code ignored;
            if (connection && !connection->busy && Clock::now() - connection->last_used >= idle_timeout)
                connection->socket.close(ignored);
        }
    }
}

Task HostStub::accept() {
    for (;;) {
        error_code error;
        auto connection = std::make_shared<Connection>(co_await listener_.async_accept(into(error)));
        if (error) co_return;
        std::erase_if(connections_, [](const auto& other) { return other.expired(); });
        connections_.push_back(connection);
        if (mode_ == HostMode::down) reset(connection->socket);
        else asio::co_spawn(io_, serve(std::move(connection)), asio::detached);
    }
}

HostStub::AttemptRecord HostStub::record_attempt(const HttpRequest& request,
                                                 const FaultProxy::Origin& origin) {
    AttemptRecord record;
    record.trace = std::string(request["X-Trace-Id"]);
    record.broken_by_fault = origin.broken_by_fault;
    const std::int64_t forwarded_ms = std::atoll(std::string(request["X-Expires-In-Ms"]).c_str());
    record.attempt = oracle_.attempt_received(record.trace, origin.gateway, number_, zone_,
                                              origin.first_byte_at, Clock::now(), forwarded_ms);
    return record;
}

void HostStub::record_outcome(const AttemptRecord& record, Outcome outcome, const std::string& body) {
    oracle_.attempt_ended(record.trace, record.attempt, outcome, body);
}

Task HostStub::serve(std::shared_ptr<Connection> connection) {
    tcp::socket* const socket = &connection->socket;
    error_code error;
    socket->set_option(tcp::no_delay(true), error);
    const std::uint16_t port = socket->remote_endpoint(error).port();
    boost::beast::flat_buffer buffer;
    while (socket->is_open()) {
        HttpRequest request;
        connection->busy = false;
        connection->last_used = Clock::now();
        co_await read_request(*socket, buffer, request, error);
        if (error) co_return;
        connection->busy = true;
        const FaultProxy::Origin* const origin = proxy_->origin(port);
        if (origin == nullptr) co_return;
        if (request.target() == "/_load" || request.target() == "/ping") {
            co_await respond_to_health_check(*socket);
            continue;
        }
        const AttemptRecord record = record_attempt(request, *origin);
        co_await respond(*socket, record);
    }
}

Task HostStub::read_request(tcp::socket& socket, boost::beast::flat_buffer& buffer, HttpRequest& request,
                            error_code& error) {
    http::request_parser<http::string_body> parser;
    co_await http::async_read_header(socket, buffer, parser, into(error));
    parser.eager(true);
    while (!error && !parser.is_done()) {
        if (mode_ == HostMode::reading_slowly) {
            buffer.max_size(slow_read_bytes);
            co_await sleep_for(io_, slow_read_pause);
        }
        co_await http::async_read_some(socket, buffer, parser, into(error));
    }
    buffer.max_size(std::numeric_limits<std::size_t>::max());
    if (!error) request = parser.release();
}

Task HostStub::send(tcp::socket& socket, std::string text) {
    error_code ignored;
    co_await asio::async_write(socket, asio::buffer(text), into(ignored));
}

Task HostStub::wait_while_hanging() {
    while (mode_ == HostMode::hanging) co_await sleep_for(io_, mode_poll_interval);
}

Task HostStub::execute() {
    const double mean_ms = mode_ == HostMode::slow ? mean_slow_work_ms : mean_work_ms;
    std::exponential_distribution<double> work_ms(1 / mean_ms);
    ++in_flight_;
    co_await sleep_for(io_, std::chrono::microseconds(static_cast<std::int64_t>(work_ms(random_) * 1000)));
    --in_flight_;
}

Task HostStub::respond_to_health_check(tcp::socket& socket) {
    co_await wait_while_hanging();
    co_await send(socket, response_head(200, load_report_field, 0));
}

Task HostStub::respond(tcp::socket& socket, const AttemptRecord& record) {
    co_await wait_while_hanging();
    if (mode_ == HostMode::erroring && random_() % 2 == 0)
        co_return co_await respond_unexecuted(socket, record);
    if (in_flight_ >= max_in_flight) co_return co_await respond_unexecuted(socket, record);
    co_await execute();
    if (mode_ == HostMode::erroring) co_return co_await respond_with_error(socket, record);
    if (mode_ == HostMode::resetting && random_() % 2 == 0) co_return reset(socket);
    if (mode_ == HostMode::corrupting) co_return co_await respond_corrupted(socket, record);
    if (mode_ == HostMode::trickling) co_return co_await respond_slowly(socket, record);
    ++served_;
    std::string body = concat(record.trace, ":", number_, ":", served_);
    if (random_() % large_body_one_in == 0) body.append(large_body_bytes, 'x');
    record_outcome(record, Outcome::success, body);
    co_await send(socket, response_head(200, load_report_field, body.size()) + body);
}

// Writes a sound long response, chunked, with a length or until the close, steadily or in lumps.
Task HostStub::respond_slowly(tcp::socket& socket, const AttemptRecord& record) {
    if (random_() % hanging_response_one_in == 0) co_return co_await hang_in_response(socket);
    enum class Framing { length, chunked, until_close };
    const auto framing = static_cast<Framing>(random_() % 3);
    const bool in_lumps = random_() % 2 == 0;
    const std::size_t size = min_slow_body_bytes + random_() % (max_slow_body_bytes - min_slow_body_bytes);
    std::string body = concat(record.trace, ":", number_, ":", ++served_);
    body.resize(size, 'x');
    record_outcome(record, Outcome::success, body);
    std::string text = response_head(200, "", size);
    if (framing == Framing::chunked) text = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (framing == Framing::until_close) text = "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n";
    const Time head_at = Clock::now();
    const std::size_t piece_bytes = in_lumps ? lump_bytes : steady_piece_bytes;
    const auto spread = static_cast<std::int64_t>(random_() % lump_pause_spread_ms);
    const Duration pause = in_lumps ? shortest_lump_pause + Duration(spread) : steady_pause;
    error_code error;
    for (std::size_t written = 0; written < size && !error; written += piece_bytes) {
        if (written > 0) co_await sleep_for(io_, pause);
        const std::string piece = body.substr(written, piece_bytes);
        const bool last = written + piece_bytes >= size;
        if (framing == Framing::chunked)
            text.append(to_hex(piece.size()))
                .append("\r\n")
                .append(piece)
                .append(last ? "\r\n0\r\n\r\n" : "\r\n");
        else text.append(piece);
        co_await asio::async_write(socket, asio::buffer(text), into(error));
        text.clear();
    }
    // A fault of this host closes the socket.
    const bool closed_by_gateway = error && socket.is_open() && !*record.broken_by_fault;
    if (closed_by_gateway) oracle_.response_cut_off(record.trace, record.attempt, head_at, Clock::now());
    if (framing == Framing::until_close) socket.close(error);
}

// Sends a part of a short response without a length, and then nothing until the gateway closes.
Task HostStub::hang_in_response(tcp::socket& socket) {
    co_await send(socket, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              to_hex(2 * hanging_body_bytes) + "\r\n" + std::string(hanging_body_bytes, 'x'));
    error_code ignored;
    char byte = 0;
    co_await asio::async_read(socket, asio::buffer(&byte, 1), into(ignored));
    socket.close(ignored);
}

Task HostStub::respond_unexecuted(tcp::socket& socket, const AttemptRecord& record) {
    record_outcome(record, Outcome::not_executed);
    co_await send(socket, response_head(503, not_executed_field, 0));
}

Task HostStub::respond_with_error(tcp::socket& socket, const AttemptRecord& record) {
    record_outcome(record, Outcome::error);
    co_await send(socket, response_head(500, "", 0));
}

// The responses are assembled from plain strings. Only the last variation records a successful outcome, so
// that the oracle does not accept a corrupted response as genuine.
Task HostStub::respond_corrupted(tcp::socket& socket, const AttemptRecord& record) {
    const std::string body = record.trace + ":spoilt";
    std::string truncated = response_head(200, "", body.size() + 100) + body;
    std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    std::string without_length = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
    switch (random_() % 5) {
        case 0:
            co_await send(socket, truncated);
            co_return reset(socket);
        case 1:
            endless.append(large_body_bytes, '1');
            co_return co_await send(socket, endless);
        case 2:  // A reset takes the place of the close that would end the body.
            co_await send(socket, without_length);
            co_return reset(socket);
        case 3:
            co_return co_await send(socket, "nothing that HTTP knows\r\n\r\n");
        default:  // A second response follows some milliseconds after the first.
            record_outcome(record, Outcome::success, body);
            co_await send(socket, response_head(200, "", body.size()) + body);
            co_await sleep_for(io_, second_response_delay);
            co_await send(socket, response_head(200, "", 6) + "second");
    }
}

}  // namespace fault_soak

#include "discovery_stub.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace fault_soak {
namespace {
constexpr Span look_again = 5ms, between_pieces = 20ms;
constexpr std::size_t piece = 400;

std::int64_t number_behind(std::string_view target, std::string_view key, std::int64_t otherwise) {
    const std::size_t at = target.find(key);
    return at == target.npos ? otherwise : std::atoll(std::string(target.substr(at + key.size())).c_str());
}
}  // namespace

DiscoveryAgent::DiscoveryAgent(asio::io_context& io, const HostList& list, std::vector<std::string> addresses,
                               OnTold on_told)
    : io_(io),
      list_(list),
      addresses_(std::move(addresses)),
      on_told_(std::move(on_told)),
      listeners_{tcp::acceptor(io, any_port()), tcp::acceptor(io, any_port())} {
    for (tcp::acceptor& listener : listeners_) asio::co_spawn(io, accept(listener), asio::detached);
}

void DiscoveryAgent::fall_silent() {
    faults.silent = true;
    ++faults.silences;
}

Task DiscoveryAgent::accept(tcp::acceptor& listener) {
    for (;;) {
        error_code ec;
        tcp::socket socket = co_await listener.async_accept(into(ec));
        if (ec) co_return;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

Task DiscoveryAgent::wait_for_change(std::int64_t since, Clock::duration hold) {
    const Time until = Clock::now() + hold;
    while (list_.version() <= since && Clock::now() < until && !faults.silent)
        co_await pause(io_, look_again);
}

Task DiscoveryAgent::write(tcp::socket& socket, HttpAnswer& answer, error_code& ec) {
    if (!faults.slow) {
        co_await http::async_write(socket, answer, into(ec));
        co_return;
    }
    std::ostringstream text;
    text << answer;
    const std::string whole = text.str();
    for (std::size_t at = 0; at < whole.size() && !ec; at += piece) {
        const std::size_t size = std::min(piece, whole.size() - at);
        co_await asio::async_write(socket, asio::buffer(whole.data() + at, size), into(ec));
        co_await pause(io_, between_pieces);
    }
}

Task DiscoveryAgent::serve(tcp::socket socket) {
    error_code ec;
    boost::beast::flat_buffer buffer;
    const std::size_t silences = faults.silences;
    for (;;) {
        HttpRequest request;
        co_await http::async_read(socket, buffer, request, into(ec));
        if (ec) co_return;
        const std::string target(request.target());
        const std::int64_t since = number_behind(target, "from=", -1);
        if (since >= 0) co_await wait_for_change(since, Span(number_behind(target, "hold_ms=", 0)));
        // A connection that has seen a silence stays silent.
        if (faults.silent || silences != faults.silences) {
            co_await http::async_read(socket, buffer, request, into(ec));
            co_return;
        }
        HttpAnswer answer(faults.refuses ? http::status::service_unavailable : http::status::ok, 11);
        const Time of = Clock::now();
        if (!faults.refuses) answer.body() = list_.json(addresses_, faults.whole_lists ? -1 : since);
        answer.prepare_payload();
        co_await write(socket, answer, ec);
        if (ec) co_return;
        if (!faults.refuses) on_told_(of);
    }
}

}  // namespace fault_soak

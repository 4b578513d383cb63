#include "discovery_stub.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace fault_soak {
namespace {

constexpr Duration change_poll_interval = 5ms;
// A slow agent sends a response in pieces of this size, one per interval.
constexpr Duration piece_interval = 20ms;
constexpr std::size_t piece_bytes = 400;
constexpr unsigned http_1_1 = 11;

// Returns the number that follows `key` in the query of a request target, or `fallback` if the key is
// missing.
std::int64_t query_number(std::string_view target, std::string_view key, std::int64_t fallback) {
    const std::size_t at = target.find(key);
    if (at == std::string_view::npos) return fallback;
    return std::atoll(std::string(target.substr(at + key.size())).c_str());
}

}  // namespace

DiscoveryAgent::DiscoveryAgent(asio::io_context& io, const HostList& list, std::vector<std::string> addresses,
                               OnListSent on_list_sent)
    : io_(io),
      list_(list),
      addresses_(std::move(addresses)),
      on_list_sent_(std::move(on_list_sent)),
      listeners_{tcp::acceptor(io, any_port()), tcp::acceptor(io, any_port())} {
    for (tcp::acceptor& listener : listeners_) asio::co_spawn(io, accept(listener), asio::detached);
}

void DiscoveryAgent::start_silence() {
    faults.silent = true;
    ++faults.silence_count;
}

Task DiscoveryAgent::accept(tcp::acceptor& listener) {
    for (;;) {
        error_code error;
        tcp::socket socket = co_await listener.async_accept(into(error));
        if (error) co_return;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

Task DiscoveryAgent::wait_for_change(std::int64_t since, Clock::duration hold) {
    const Time until = Clock::now() + hold;
    while (list_.version() <= since && Clock::now() < until && !faults.silent)
        co_await sleep_for(io_, change_poll_interval);
}

Task DiscoveryAgent::write(tcp::socket& socket, HttpResponse& response, error_code& error) {
    if (!faults.slow) {
        co_await http::async_write(socket, response, into(error));
        co_return;
    }
    std::ostringstream stream;
    stream << response;
    const std::string bytes = stream.str();
    for (std::size_t at = 0; at < bytes.size() && !error; at += piece_bytes) {
        const std::size_t size = std::min(piece_bytes, bytes.size() - at);
        co_await asio::async_write(socket, asio::buffer(bytes.data() + at, size), into(error));
        co_await sleep_for(io_, piece_interval);
    }
}

Task DiscoveryAgent::serve(tcp::socket socket) {
    error_code error;
    boost::beast::flat_buffer buffer;
    const std::size_t silence_count_at_start = faults.silence_count;
    for (;;) {
        HttpRequest request;
        co_await http::async_read(socket, buffer, request, into(error));
        if (error) co_return;
        const std::string target(request.target());
        const std::int64_t since = query_number(target, "from=", HostList::no_version);
        if (since >= 0) co_await wait_for_change(since, Duration(query_number(target, "hold_ms=", 0)));
        // A connection that was open during a silence gets no further response. The agent closes the
        // connection when the next request arrives.
        if (faults.silent || silence_count_at_start != faults.silence_count) {
            co_await http::async_read(socket, buffer, request, into(error));
            co_return;
        }
        HttpResponse response(faults.rejects ? http::status::service_unavailable : http::status::ok,
                              http_1_1);
        const Time list_time = Clock::now();
        if (!faults.rejects)
            response.body() = list_.json(addresses_, faults.complete_lists ? HostList::no_version : since);
        response.prepare_payload();
        co_await write(socket, response, error);
        if (error) co_return;
        if (!faults.rejects) on_list_sent_(list_time);
    }
}

}  // namespace fault_soak

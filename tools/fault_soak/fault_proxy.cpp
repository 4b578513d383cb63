#include "fault_proxy.h"

#include <array>

namespace fault_soak {
namespace {

constexpr std::size_t read_bytes = 16 * 1024;
constexpr Duration silence_poll_interval = 10ms;

}  // namespace

void FaultProxy::Pipe::close() {
    error_code ignored;
    gateway.close(ignored);
    host.close(ignored);
}
void FaultProxy::Pipe::reset_both() {
    reset(gateway);
    reset(host);
}
void FaultProxy::Pipe::break_by_fault() {
    *origin.broken_by_fault = true;
    reset_both();
}

FaultProxy::FaultProxy(asio::io_context& io, int gateways, std::vector<tcp::endpoint> hosts)
    : io_(io), host_count_(hosts.size()) {
    for (int gateway = 0; gateway < gateways; ++gateway)
        for (const tcp::endpoint& host : hosts) links_.push_back(std::make_unique<Link>(io, gateway, host));
    for (const auto& link : links_) asio::co_spawn(io, accept(*link), asio::detached);
}

std::vector<std::string> FaultProxy::addresses_for(int gateway) const {
    std::vector<std::string> addresses;
    const std::size_t first = static_cast<std::size_t>(gateway) * host_count_;
    for (std::size_t host = 0; host < host_count_; ++host)
        addresses.push_back(text_of(links_[first + host]->listener.local_endpoint()));
    return addresses;
}

void FaultProxy::reset_connections(int gateway, int host) {
    for (const auto& weak : std::exchange(link(gateway, host).pipes, {}))
        if (const auto pipe = weak.lock()) pipe->break_by_fault();
}

const FaultProxy::Origin* FaultProxy::origin(std::uint16_t port) const {
    const auto found = pipes_.find(port);
    if (found == pipes_.end()) return nullptr;
    const auto pipe = found->second.lock();
    return pipe ? &pipe->origin : nullptr;
}

Task FaultProxy::accept(Link& link) {
    for (;;) {
        error_code error;
        tcp::socket socket = co_await link.listener.async_accept(into(error));
        if (error) co_return;
        auto pipe = std::make_shared<Pipe>(io_, std::move(socket));
        pipe->origin.gateway = link.gateway;
        std::erase_if(link.pipes, [](const auto& other) { return other.expired(); });
        link.pipes.push_back(pipe);
        asio::co_spawn(io_, run_pipe(link, std::move(pipe)), asio::detached);
    }
}

Task FaultProxy::run_pipe(Link& link, std::shared_ptr<Pipe> pipe) {
    error_code error;
    pipe->gateway.set_option(tcp::no_delay(true), error);
    co_await pipe->host.async_connect(link.host, into(error));
    if (error) co_return pipe->reset_both();
    pipe->host.set_option(tcp::no_delay(true), error);
    const std::uint16_t port = pipe->host.local_endpoint(error).port();
    pipes_[port] = pipe;
    asio::co_spawn(io_, forward(link, pipe, Direction::to_gateway), asio::detached);
    const Duration delay = link.faults.delay;
    if (delay > 0ms) co_await delay_first_bytes(pipe, delay);
    co_await forward(link, pipe, Direction::to_host);
    // A later connection may already have reused the port.
    const auto entry = pipes_.find(port);
    if (entry != pipes_.end() && entry->second.lock() == pipe) pipes_.erase(entry);
}

// Records the time at which the gateway wrote the first byte, not the later time at which it is forwarded.
Task FaultProxy::delay_first_bytes(std::shared_ptr<Pipe> pipe, Duration delay) {
    error_code ignored;
    co_await pipe->gateway.async_wait(tcp::socket::wait_read, into(ignored));
    pipe->origin.first_byte_at = Clock::now();
    pipe->awaits_request = false;
    co_await sleep_for(io_, delay);
}

Task FaultProxy::forward(Link& link, std::shared_ptr<Pipe> pipe, Direction direction) {
    const bool forwards_requests = direction == Direction::to_host;
    tcp::socket& source = forwards_requests ? pipe->gateway : pipe->host;
    tcp::socket& target = forwards_requests ? pipe->host : pipe->gateway;
    std::array<char, read_bytes> bytes;
    for (;;) {
        error_code error;
        const std::size_t size = co_await source.async_read_some(asio::buffer(bytes), into(error));
        if (link.faults.silent) {
            while (link.faults.silent) co_await sleep_for(io_, silence_poll_interval);
            co_return pipe->break_by_fault();
        }
        if (error == asio::error::eof) co_return pipe->close();
        if (error) co_return pipe->reset_both();
        if (forwards_requests && std::exchange(pipe->awaits_request, false))
            pipe->origin.first_byte_at = Clock::now();
        if (!forwards_requests) pipe->awaits_request = true;
        co_await asio::async_write(target, asio::buffer(bytes.data(), size), into(error));
        if (error) co_return pipe->reset_both();
    }
}

}  // namespace fault_soak

#include "fault_proxy.h"

#include <array>

namespace fault_soak {
namespace {
constexpr std::size_t read_at_once = 16 * 1024;
constexpr Span look_again = 10ms;
}  // namespace

void FaultProxy::Pipe::close() {
    error_code ec;
    gateway.close(ec);
    host.close(ec);
}
void FaultProxy::Pipe::cut() {
    reset(gateway);
    reset(host);
}

FaultProxy::FaultProxy(asio::io_context& io, int gateways, std::vector<tcp::endpoint> hosts)
    : io_(io), hosts_(hosts.size()) {
    for (int gateway = 0; gateway < gateways; ++gateway)
        for (const tcp::endpoint& host : hosts) links_.push_back(std::make_unique<Link>(io, gateway, host));
    for (const auto& link : links_) asio::co_spawn(io, accept(*link), asio::detached);
}

std::vector<std::string> FaultProxy::addresses_for(int gateway) const {
    std::vector<std::string> addresses;
    for (std::size_t host = 0; host < hosts_; ++host)
        addresses.push_back(
            text_of(links_[static_cast<std::size_t>(gateway) * hosts_ + host]->listener.local_endpoint()));
    return addresses;
}
void FaultProxy::reset_connections(int gateway, int host) {
    for (const auto& pipe : std::exchange(at(gateway, host).pipes, {}))
        if (const auto open = pipe.lock()) open->cut();
}
const FaultProxy::Origin* FaultProxy::origin(std::uint16_t port) const {
    const auto found = by_port_.find(port);
    if (found == by_port_.end()) return nullptr;
    const auto pipe = found->second.lock();
    return pipe ? &pipe->origin : nullptr;
}

Task FaultProxy::accept(Link& link) {
    for (;;) {
        error_code ec;
        tcp::socket socket = co_await link.listener.async_accept(into(ec));
        if (ec) co_return;
        auto pipe = std::make_shared<Pipe>(io_, std::move(socket));
        pipe->origin.gateway = link.gateway;
        std::erase_if(link.pipes, [](const auto& old) { return old.expired(); });
        link.pipes.push_back(pipe);
        asio::co_spawn(io_, open(link, std::move(pipe)), asio::detached);
    }
}

Task FaultProxy::open(Link& link, std::shared_ptr<Pipe> pipe) {
    error_code ec;
    pipe->gateway.set_option(tcp::no_delay(true), ec);
    co_await pipe->host.async_connect(link.host, into(ec));
    if (ec) co_return pipe->cut();
    pipe->host.set_option(tcp::no_delay(true), ec);
    const std::uint16_t port = pipe->host.local_endpoint(ec).port();
    by_port_[port] = pipe;
    asio::co_spawn(io_, carry(link, pipe, pipe->host, pipe->gateway, false), asio::detached);
    const Span late = link.faults.late;
    if (late > 0ms) {
        // The first byte counts from when the gateway wrote it, not from when it goes on.
        co_await pipe->gateway.async_wait(tcp::socket::wait_read, into(ec));
        pipe->origin.first_byte = Clock::now();
        pipe->awaits_request = false;
        co_await pause(io_, late);
    }
    co_await carry(link, pipe, pipe->gateway, pipe->host, true);
    if (const auto own = by_port_.find(port); own != by_port_.end() && own->second.lock() == pipe)
        by_port_.erase(own);
}

Task FaultProxy::carry(Link& link, std::shared_ptr<Pipe> pipe, tcp::socket& from, tcp::socket& to,
                       bool requests) {
    std::array<char, read_at_once> bytes;
    for (;;) {
        error_code ec;
        const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), into(ec));
        if (link.faults.silent) {
            while (link.faults.silent) co_await pause(io_, look_again);
            co_return pipe->cut();
        }
        if (ec == asio::error::eof) co_return pipe->close();
        if (ec) co_return pipe->cut();
        if (requests && std::exchange(pipe->awaits_request, false)) pipe->origin.first_byte = Clock::now();
        if (!requests) pipe->awaits_request = true;
        co_await asio::async_write(to, asio::buffer(bytes.data(), size), into(ec));
        if (ec) co_return pipe->cut();
    }
}

}  // namespace fault_soak

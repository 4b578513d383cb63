// Stubs of the hosts, written from their public protocol: they serve, fail and misbehave as they are set to,
// and report each attempt to the oracle.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "net.h"
#include "oracle.h"
#include "random.h"

namespace fault_soak {

enum class HostMode {
    serving,
    hanging,     // takes requests and sends no response until the mode changes
    resetting,   // resets every second connection under its request
    erroring,    // answers every second request with 503 unexecuted, the others with 500
    corrupting,  // cut, endless, doubled or unreadable responses
    slow,
    down,  // resets every connection
};

class HostStub {
  public:
    // `oracle` must outlive the stub.
    HostStub(asio::io_context& io, int number, std::string zone, std::uint64_t seed, Oracle& oracle);

    [[nodiscard]] tcp::endpoint endpoint() const { return listener_.local_endpoint(); }
    // Before the first request. The proxy knows which gateway a connection comes from.
    void use_proxy(const FaultProxy& proxy) { proxy_ = &proxy; }
    // HostMode::down and HostMode::resetting reset all open connections.
    void set_mode(HostMode mode);
    // Ends the connections that carry no request now, with a reset or in good order.
    void drop_idle(bool with_reset);

  private:
    // A request that the oracle knows of.
    struct Exchange {
        std::string trace;
        std::size_t attempt = 0;  // as Oracle::attempt_received() gave it
    };
    struct Connection {
        explicit Connection(tcp::socket&& accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        bool busy = false;
        Time last_used = Clock::now();
    };

    Task accept();
    Task close_idle_connections();
    Task serve(std::shared_ptr<Connection> connection);
    Task respond_to_health_check(tcp::socket& socket);
    Task respond(tcp::socket& socket, const Exchange& exchange);
    Task respond_unexecuted(tcp::socket& socket, const Exchange& exchange);
    Task respond_with_error(tcp::socket& socket, const Exchange& exchange);
    Task respond_corrupted(tcp::socket& socket, const Exchange& exchange);
    Task execute();
    Task wait_while_hanging();
    Task send(tcp::socket& socket, std::string text);
    Exchange record_attempt(const HttpRequest& request, const FaultProxy::Origin& origin);
    void record_outcome(const Exchange& exchange, Oracle::HostOutcome outcome, const std::string& body = {});

    asio::io_context& io_;
    int number_;
    std::string zone_;
    Oracle& oracle_;
    Random random_;
    tcp::acceptor listener_;
    const FaultProxy* proxy_ = nullptr;
    HostMode mode_ = HostMode::serving;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::uint64_t served_ = 0;
    int in_flight_ = 0;
};

}  // namespace fault_soak

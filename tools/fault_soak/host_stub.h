// Stubs of the hosts, which implement the public protocol independently of the gateway's code. Their mode
// determines whether they serve, fail or violate the protocol. They report each attempt to the oracle.
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

// How a host stub treats requests.
enum class HostMode {
    serving,
    // Accepts requests and sends no response until the mode changes.
    hanging,
    // Resets the connection instead of sending a response to about every second request.
    resetting,
    // Answers about every second request with status 503 without executing it, and executes the others but
    // answers them with status 500.
    erroring,
    // Sends truncated, endless, duplicated or unreadable responses.
    corrupting,
    // Takes longer to answer.
    slow,
    // Writes long responses slowly, with and without a length, and hangs in some short ones.
    trickling,
    // Reads requests slowly.
    reading_slowly,
    // Resets every connection as soon as the host accepts it.
    down,
};

// The stub of one host.
class HostStub {
  public:
    // `oracle` must outlive the stub.
    HostStub(asio::io_context& io, int number, std::string zone, std::uint64_t seed, Oracle& oracle);

    [[nodiscard]] tcp::endpoint endpoint() const { return listener_.local_endpoint(); }
    // Sets the proxy that knows which gateway a connection comes from. Must be called before the first
    // request.
    void use_proxy(const FaultProxy& proxy) { proxy_ = &proxy; }
    // Sets the mode. HostMode::down and HostMode::resetting also reset all open connections.
    void set_mode(HostMode mode);
    // Ends the connections that carry no request now, by a reset or by an orderly close.
    void drop_idle(bool with_reset);

  private:
    // Identifies an attempt that was reported to the oracle.
    struct AttemptRecord {
        std::string trace;
        // The index that Oracle::attempt_received() returned.
        std::size_t attempt = 0;
        // Whether a fault of the link has broken the connection.
        std::shared_ptr<const bool> broken_by_fault;
    };
    struct Connection {
        explicit Connection(tcp::socket&& accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        // Whether the connection carries a request now.
        bool busy = false;
        Time last_used = Clock::now();
    };

    Task accept();
    Task close_idle_connections();
    Task serve(std::shared_ptr<Connection> connection);
    Task respond_to_health_check(tcp::socket& socket);
    Task respond(tcp::socket& socket, const AttemptRecord& record);
    Task respond_unexecuted(tcp::socket& socket, const AttemptRecord& record);
    Task respond_with_error(tcp::socket& socket, const AttemptRecord& record);
    Task respond_corrupted(tcp::socket& socket, const AttemptRecord& record);
    Task respond_slowly(tcp::socket& socket, const AttemptRecord& record);
    Task hang_in_response(tcp::socket& socket);
    Task read_request(tcp::socket& socket, boost::beast::flat_buffer& buffer, HttpRequest& request,
                      error_code& error);
    Task execute();
    Task wait_while_hanging();
    Task send(tcp::socket& socket, std::string text);
    AttemptRecord record_attempt(const HttpRequest& request, const FaultProxy::Origin& origin);
    void record_outcome(const AttemptRecord& record, Oracle::HostOutcome outcome,
                        const std::string& body = {});

    asio::io_context& io_;
    int number_;
    std::string zone_;
    Oracle& oracle_;
    Random random_;
    tcp::acceptor listener_;
    const FaultProxy* proxy_ = nullptr;
    HostMode mode_ = HostMode::serving;
    std::vector<std::weak_ptr<Connection>> connections_;
    // Number of successful responses so far; makes their bodies unique.
    std::uint64_t served_ = 0;
    // Number of requests that are being executed now.
    int in_flight_ = 0;
};

}  // namespace fault_soak

// Clients that keep to the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net.h"
#include "oracle.h"
#include "random.h"

namespace fault_soak {

// The gateways as a load balancer in front of them sees them.
struct LoadBalancer {
    std::vector<tcp::endpoint> gateways;
    std::vector<bool> in_rotation;  // by gateway: clients may choose it
};

// What all clients of a run share.
struct ClientBehaviour {
    bool disconnects_early = false;  // many disconnect before their response has come
    bool stopped = false;            // no further requests
    Duration slack{100};             // for the machine's own lateness
};

// One client with one request at a time, on a connection that it keeps open.
class Client {
  public:
    // All references must outlive the client.
    Client(asio::io_context& io, int number, std::uint64_t seed, const LoadBalancer& load_balancer,
           const ClientBehaviour& behaviour, Oracle& oracle);
    // Sends requests until the behaviour is `stopped`.
    Task run();

  private:
    struct Request {
        std::string trace;
        std::string text;
        Idempotency idempotency = Idempotency::idempotent;
        Time deadline;
    };
    struct RequestClass;

    // Below 0 where no gateway is in rotation.
    int choose_gateway();
    Task connect(int gateway);
    Request draw_request();
    int draw_timeout_ms(const RequestClass& request_class);
    std::string request_text(const RequestClass& request_class, const std::string& trace, int timeout_ms);
    Task exchange(Request request);
    Task write_in_pieces(Request& request, error_code& error);
    // `closed_unread` becomes true where the connection ended before the request was read.
    Task await_response(const Request& request, bool& closed_unread);
    // When to disconnect, within the time `left` until the deadline.
    Time draw_disconnect(Duration left);
    // A connection that ends between two requests may cross one that has not been read: the request goes once
    // more, on a new connection.
    Task resend(const Request& request);
    void record_response(const Request& request, error_code error,
                         const http::response_parser<http::string_body>& parser, bool& closed_unread);

    asio::io_context& io_;
    int number_;
    Random random_;
    const LoadBalancer& load_balancer_;
    const ClientBehaviour& behaviour_;
    Oracle& oracle_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    int gateway_ = -1;     // that the socket is connected to
    bool reused_ = false;  // the connection has brought a response
    std::uint64_t request_count_ = 0;
};

}  // namespace fault_soak

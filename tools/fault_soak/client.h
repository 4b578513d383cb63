// Clients that follow the protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net.h"
#include "oracle.h"
#include "random.h"

namespace fault_soak {

// The state of a load balancer in front of the gateways.
struct LoadBalancer {
    std::vector<tcp::endpoint> gateways;
    // For each gateway, whether clients may choose it.
    std::vector<bool> in_rotation;
};

// Settings that all clients of a run share. They may change during the run.
struct ClientBehaviour {
    // Many clients disconnect before they have received their response.
    bool disconnects_early = false;
    // For each gateway, whether idle clients use up its descriptors. It may close new connections unread
    // then.
    std::vector<bool> crowded;
    // Clients send no further requests.
    bool stopped = false;
    // Added to time limits, because a busy machine can delay the soak itself.
    Duration slack{100};
};

// One client that sends one request at a time over a persistent connection.
class Client {
  public:
    // All references must outlive the client.
    Client(asio::io_context& io, int number, std::uint64_t seed, const LoadBalancer& load_balancer,
           const ClientBehaviour& behaviour, Oracle& oracle);
    // Sends requests until ClientBehaviour::stopped is set.
    Task run();

  private:
    struct Request {
        std::string trace;
        std::string text;
        Idempotency idempotency = Idempotency::idempotent;
        Time sent;
        Time deadline;
    };
    struct RequestClass;

    // Returns the index of a gateway in rotation, or a number below 0 if none was found.
    int choose_gateway();
    Task connect(int gateway);
    Request draw_request();
    int draw_timeout_ms(const RequestClass& request_class);
    std::string request_text(const RequestClass& request_class, const std::string& trace, int timeout_ms);
    Task exchange(Request request);
    Task write_in_pieces(Request& request, error_code& error);
    // Sets `closed_unread` if a reused connection was closed before any byte of the response arrived. The
    // gateway may then not have read the request.
    Task await_response(const Request& request, bool& closed_unread);
    // Draws the time at which the client disconnects. `time_left` is the time until the deadline.
    Time draw_disconnect(Duration time_left);
    // Sends the request once more, on a new connection. This is necessary when the gateway closes an idle
    // connection while the next request is in transit, because the gateway has not read that request.
    Task resend(Request request);
    using ResponseParser = http::response_parser<http::string_body>;

    // Reads a response whose header has arrived to its end. Returns whether the client has given up by then.
    // `until`: the time until which the client waits; empty: as long as the response keeps arriving.
    [[nodiscard]] asio::awaitable<bool> read_body(ResponseParser& parser, std::optional<Time> until,
                                                  error_code& error);
    void record_response(const Request& request, error_code error, const ResponseParser& parser,
                         Time first_byte_at, bool& closed_unread);

    asio::io_context& io_;
    int number_;
    Random random_;
    const LoadBalancer& load_balancer_;
    const ClientBehaviour& behaviour_;
    Oracle& oracle_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    // Index of the gateway that the socket is connected to.
    int gateway_ = -1;
    // Whether a response has been received on the current connection.
    bool reused_ = false;
    std::uint64_t request_count_ = 0;
};

}  // namespace fault_soak

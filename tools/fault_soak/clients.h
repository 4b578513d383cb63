// The clients of the run: ordinary ones, that keep to the protocol, and bad ones.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net.h"
#include "oracle.h"
#include "plan.h"

namespace fault_soak {

// Where clients may go now.
struct Front {
    std::vector<tcp::endpoint> gateways;
    std::vector<bool> admitted;  // by gateway
};

struct ClientMood {
    bool leaves_early = false;  // some leave before their answer has come
    bool over = false;          // no further requests
    Span slack{100};            // for the machine's own lateness
};

// One client, one request at a time, on a connection that it keeps.
class Client {
  public:
    Client(asio::io_context& io, int number, std::uint64_t seed, const Front& front, const ClientMood& mood,
           Oracle& oracle);
    Task run();

  private:
    struct Sent {
        std::string trace, text;
        Effect effect = Effect::safe;
        Time deadline;
    };
    Sent draw_request();
    int choose_gateway();
    Task connect(int gateway);
    Task exchange(Sent request);
    Task await_answer(const Sent& request, bool& again);
    Task send_again(const Sent& request);
    void judge(const Sent& request, error_code ec, const http::response_parser<http::string_body>& parser,
               bool& again);

    asio::io_context& io_;
    int number_;
    Random random_;
    const Front& front_;
    const ClientMood& mood_;
    Oracle& oracle_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    int gateway_ = -1;
    bool used_ = false;  // the connection has brought an answer
    std::uint64_t sent_ = 0;
};

// A client that sends what is no proper request, or no whole one, and is owed an error or a close.
Task run_bad_client(asio::io_context& io, tcp::endpoint gateway, std::uint64_t chance, Span slack,
                    std::function<bool()> gateway_lives, Oracle& oracle);

}  // namespace fault_soak

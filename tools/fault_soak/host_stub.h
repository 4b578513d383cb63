// Stand-ins for the hosts, written from their public protocol: they serve, fail and misbehave as they are
// told, and record each attempt.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "net.h"
#include "oracle.h"
#include "plan.h"

namespace fault_soak {

enum class HostMode { serves, hangs, resets, errors, spoils, slow, down };

class HostStub {
  public:
    HostStub(asio::io_context& io, int number, std::string zone, std::uint64_t seed, Oracle& oracle);
    tcp::endpoint endpoint() const { return listener_.local_endpoint(); }
    void use(const FaultProxy& proxy) { proxy_ = &proxy; }
    void set_mode(HostMode mode);
    // Ends the connections that carry nothing now, with a reset or in good order.
    void drop_idle(bool with_reset);

  private:
    struct Exchange {
        std::string trace;
        std::size_t attempt = 0;
    };
    struct Connection {
        explicit Connection(tcp::socket&& from) : socket(std::move(from)) {}
        tcp::socket socket;
        bool busy = false;
        Time used = Clock::now();
    };
    Task accept();
    Task end_idle();
    Task serve(std::shared_ptr<Connection> connection);
    Task answer(tcp::socket& socket, const Exchange& exchange);
    Task answer_spoilt(tcp::socket& socket, const Exchange& exchange);
    Task say(tcp::socket& socket, std::string text);
    Exchange take_in(const HttpRequest& request, const FaultProxy::Origin& origin);

    asio::io_context& io_;
    int number_;
    std::string zone_;
    Oracle& oracle_;
    Random random_;
    tcp::acceptor listener_;
    const FaultProxy* proxy_ = nullptr;
    HostMode mode_ = HostMode::serves;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::uint64_t served_ = 0;
    int at_work_ = 0;
};

}  // namespace fault_soak

// A stub of the discovery agent that serves endpoint lists to a real gateway process. It implements the
// public discovery protocol independently of the gateway's code.
#pragma once

#include <utility>
// <utility> stands in a block of its own, before Boost.Asio: version 1.74 needs it but does not include it.
// clang-format off
#include <boost/asio.hpp>
// clang-format on
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gateway::scale {

// An HTTP server on a free loopback port. A request without a version gets the complete list at once; a poll
// for changes gets one changed host after a fixed interval.
class DiscoveryStub {
  public:
    // Lists `hosts` hosts. Delays the response to each poll for changes by 1/`changes_per_s` seconds.
    DiscoveryStub(boost::asio::io_context& io, int hosts, double changes_per_s);

    // Returns the TCP port on 127.0.0.1 that the stub listens on.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] int changes_sent() const noexcept { return changes_sent_; }
    // Returns the total size of all response bodies in bytes, without the HTTP headers.
    [[nodiscard]] double bytes_sent() const noexcept { return bytes_sent_; }

  private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Session {
        explicit Session(Socket&& accepted) : socket(std::move(accepted)) {}
        Socket socket;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::empty_body> request;
        boost::beast::http::response<boost::beast::http::string_body> response;
    };

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void handle_request(const std::shared_ptr<Session>& session);
    void respond(const std::shared_ptr<Session>& session, std::string body);
    [[nodiscard]] std::string make_complete_list() const;
    // Increments the list version and returns the change of one host as JSON.
    [[nodiscard]] std::string make_change();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::chrono::microseconds change_interval_;
    int hosts_;
    int version_ = 1;
    int changes_sent_ = 0;
    double bytes_sent_ = 0;
    // The JSON body of list version 1.
    std::string complete_list_;
};

}  // namespace gateway::scale

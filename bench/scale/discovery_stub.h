// A stub of discovery's agent for a real gateway, written from the public protocol.
#pragma once

#include <utility>
// In a block of its own, as Boost.Asio 1.74 misses <utility>.
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

// Answers a first request with the complete list, and each poll for changes after a fixed time with one
// changed host.
class DiscoveryStub {
  public:
    DiscoveryStub(boost::asio::io_context& io, int hosts, double changes_per_s);

    // On loopback.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] int changes_sent() const noexcept { return changes_sent_; }
    // Of all responses, without their heads.
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
    // Increments the version.
    [[nodiscard]] std::string make_change();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::chrono::microseconds change_interval_;
    int hosts_;
    int version_ = 1;
    int changes_sent_ = 0;
    double bytes_sent_ = 0;
    std::string complete_list_;  // of version 1
};

}  // namespace gateway::scale

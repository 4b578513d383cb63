#include "discovery_stub.h"

#include <cstdio>

namespace gateway::scale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int zones = 15;
constexpr int hosts_per_cell = 8;
// Distance in the list between consecutive changed hosts. It is a prime, which spreads the changed hosts over
// the whole list.
constexpr int changed_host_distance = 7919;
constexpr unsigned http_1_1 = 11;

std::string host_json(int host, const char* state) {
    char text[256];
    std::snprintf(
        text, sizeof text,
        R"({"uid":"s-%07d","endpoint":"127.0.0.1:9","az":"zone-%d","model":"std-2c","pod_group":%d,)"
        R"("state":"%s","capacity_hint":1,"boot_ms":0})",
        host, host % zones, host / hosts_per_cell, state);
    return text;
}

}  // namespace

DiscoveryStub::DiscoveryStub(asio::io_context& io, int hosts, double changes_per_s)
    : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      timer_(io),
      change_interval_(static_cast<std::int64_t>(1e6 / changes_per_s)),
      hosts_(hosts),
      complete_list_(make_complete_list()) {
    accept();
}

void DiscoveryStub::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error) return;
        read(std::make_shared<Session>(std::move(socket)));
        accept();
    });
}

void DiscoveryStub::read(const std::shared_ptr<Session>& session) {
    session->request = {};
    http::async_read(session->socket, session->buffer, session->request,
                     [this, session](error_code error, std::size_t) {
                         if (!error) handle_request(session);
                     });
}

void DiscoveryStub::handle_request(const std::shared_ptr<Session>& session) {
    const bool polls_for_changes = session->request.target().find("from=") != std::string_view::npos;
    if (!polls_for_changes) return respond(session, complete_list_);
    timer_.expires_after(change_interval_);
    timer_.async_wait([this, session](error_code cancelled) {
        if (!cancelled) respond(session, make_change());
    });
}

void DiscoveryStub::respond(const std::shared_ptr<Session>& session, std::string body) {
    session->response = {};
    session->response.result(http::status::ok);
    session->response.version(http_1_1);
    session->response.body() = std::move(body);
    session->response.prepare_payload();
    bytes_sent_ += static_cast<double>(session->response.body().size());
    http::async_write(session->socket, session->response, [this, session](error_code error, std::size_t) {
        if (!error) read(session);
    });
}

std::string DiscoveryStub::make_complete_list() const {
    std::string list = R"({"rev":)" + std::to_string(version_) + R"(,"all":true,"targets":[)";
    for (int host = 0; host < hosts_; ++host) {
        if (host > 0) list += ',';
        list += host_json(host, "ready");
    }
    return list + "]}";
}

std::string DiscoveryStub::make_change() {
    ++version_;
    ++changes_sent_;
    // Each selected host changes twice in a row: first to draining, then back to ready.
    const int host = (version_ / 2) * changed_host_distance % hosts_;
    return R"({"rev":)" + std::to_string(version_) + R"(,"all":false,"targets":[)" +
           host_json(host, version_ % 2 == 0 ? "draining" : "ready") + "]}";
}

}  // namespace gateway::scale

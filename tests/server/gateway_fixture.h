// The whole gateway in one process, with clients, hosts and discovery on the event loop of the test.
#pragma once

#include "loopback.h"
#include "runtime.h"

namespace gateway::server::test {

// An entry of an endpoint list.
inline std::string endpoint_entry(const std::string& uid, const std::string& address,
                                  const std::string& state = "ready") {
    return R"({"uid":")" + uid + R"(","endpoint":")" + address + R"(","az":"a","model":"m","state":")" +
           state + R"(","capacity_hint":1,"boot_ms":0})";
}

// A complete endpoint list.
inline std::string complete_list(int rev, const std::string& targets) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":true,"targets":[)" + targets + "]}";
}

// A request as text.
inline std::string request(const std::string& id, const std::string& more = {},
                           const std::string& qos = "read", std::chrono::milliseconds expires_in = 15000ms) {
    return "GET /api/x?y=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + qos +
           "\r\nX-Contract: basic\r\nX-Client-Id: 00000000b4d65521\r\nX-Expires-In-Ms: " +
           std::to_string(expires_in.count()) + "\r\nX-Metering: units=1,spread=1,first=0\r\n" + more +
           "\r\n";
}

// A gateway with one host and the discovery that names it. Settings changed before the first use of gateway()
// take effect.
struct GatewayTest : ::testing::Test {
    asio::io_context io;
    std::optional<SocketBudget> budget;
    std::size_t sockets = 64;
    int deadline_ms = 15000;
    Server::Handler on_request = [](auto& peer) { peer.ok("served"); };
    Server host{io, [this](auto& peer) { on_request(peer); }};
    std::string endpoint_list;  // what discovery tells; empty: it is silent
    Server::Handler on_list_call = [this](auto& peer) {
        if (!endpoint_list.empty() && peer.request.target().find("from=") == std::string::npos)
            peer.ok(endpoint_list);
    };
    Server discovery{io, [this](auto& peer) { on_list_call(peer); }};
    std::string plan = R"({"name":"basic","rate":1000,"mostAtOnce":1000,"worthFactor":1})";
    std::string extra;               // further keys of the configuration
    std::string may;                 // further keys of the settings' limits
    std::string mode = "automatic";  // how lists come
    std::optional<Runtime> made;

    void SetUp() override { endpoint_list = complete_list(1, endpoint_entry("h", host.address())); }
    Config config() const {
        return parse_config(
            R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery.address() + R"(",)" + extra +
                R"("settings":{"rank":0,"instances":1,"locality":"a","membershipMode":")" + mode +
                R"(","tickUs":4000,"tiersOfService":[)" + plan +
                R"(],"familyInfo":{"unitsTop":2},"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":)" +
                std::to_string(deadline_ms) +
                R"(000,"value":1},{"name":"book","effect":"fragile","deadlineUs":)" +
                std::to_string(deadline_ms) + R"(000,"value":1}],"ceilings":{)" + may +
                R"("maxAttempts":4,"retryAfter":true},)"
                R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})",
            [](const char*) { return nullptr; });
    }
    Runtime& gateway() {
        if (!made) {
            budget.emplace(sockets);
            made.emplace(io, *budget, config());
        }
        return *made;
    }
    tcp::endpoint address() { return gateway().clients().local_endpoint(); }
    bool starts() {
        gateway();
        return run_until(io, [&] { return gateway().ready(); });
    }
    // For at least so long.
    bool time_passes(std::chrono::milliseconds span) {
        const auto until = std::chrono::steady_clock::now() + span;
        return run_until(io, [&] { return std::chrono::steady_clock::now() >= until; });
    }
    bool answered(const Client& client, std::size_t count = 1) {
        return run_until(io, [&] { return client.answers().size() >= count; });
    }
};

}  // namespace gateway::server::test

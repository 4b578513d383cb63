// A complete gateway in the test process, with clients, hosts and discovery on the test's event loop.
#pragma once

#include "loopback.h"
#include "runtime.h"

namespace gateway::server::test {

// Returns one entry of an endpoint list.
inline std::string endpoint_entry(const std::string& uid, const std::string& address,
                                  const std::string& state = "ready") {
    return R"({"uid":")" + uid + R"(","endpoint":")" + address + R"(","az":"a","model":"m","state":")" +
           state + R"(","capacity_hint":1,"boot_ms":0})";
}

// Returns a complete endpoint list. `targets`: its entries, separated by commas.
inline std::string complete_list(int rev, const std::string& targets) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":true,"targets":[)" + targets + "]}";
}

// Returns the text of a valid request. `id`: its trace id. `more`: further header lines.
inline std::string request(const std::string& id, const std::string& more = {},
                           const std::string& qos = "read", std::chrono::milliseconds expires_in = 15000ms) {
    return "GET /api/x?y=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + qos +
           "\r\nX-Contract: basic\r\nX-Client-Id: 00000000b4d65521\r\nX-Expires-In-Ms: " +
           std::to_string(expires_in.count()) + "\r\nX-Metering: units=1,spread=1,first=0\r\n" + more +
           "\r\n";
}

// A gateway with one host, and a discovery server that lists this host. Changes to the settings take effect
// if they precede the first call of gateway().
struct GatewayTest : ::testing::Test {
    asio::io_context io;
    std::optional<SocketBudget> budget;
    std::size_t sockets = 64;
    int deadline_ms = 15000;
    Server::Handler on_request = [](auto& peer) { peer.ok("served"); };
    Server host{io, [this](auto& peer) { on_request(peer); }};
    // The endpoint list that discovery sends; if empty, discovery does not respond.
    std::string endpoint_list;
    Server::Handler on_list_call = [this](auto& peer) {
        if (!endpoint_list.empty() && peer.request.target().find("from=") == std::string::npos)
            peer.ok(endpoint_list);
    };
    Server discovery{io, [this](auto& peer) { on_list_call(peer); }};
    std::string plan = R"({"name":"basic","rate":1000,"mostAtOnce":1000,"worthFactor":1})";
    // Further keys of the configuration file, each followed by a comma.
    std::string extra_config;
    // Further keys of `ceilings` in the settings, each followed by a comma.
    std::string extra_ceilings;
    // The value of `membershipMode` in the settings.
    std::string membership_mode = "automatic";
    std::optional<Runtime> runtime;

    void SetUp() override { endpoint_list = complete_list(1, endpoint_entry("h", host.address())); }
    Config config() const {
        return parse_config(
            R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery.address() + R"(",)" +
                extra_config + R"("settings":{"rank":0,"instances":1,"locality":"a","membershipMode":")" +
                membership_mode + R"(","tickUs":4000,"tiersOfService":[)" + plan +
                R"(],"familyInfo":{"unitsTop":2},"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":)" +
                std::to_string(deadline_ms) +
                R"(000,"value":1},{"name":"book","effect":"fragile","deadlineUs":)" +
                std::to_string(deadline_ms) + R"(000,"value":1}],"ceilings":{)" + extra_ceilings +
                R"("maxAttempts":4,"retryAfter":true},)"
                R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})",
            [](const char*) { return nullptr; });
    }
    Runtime& gateway() {
        if (!runtime) {
            budget.emplace(sockets);
            runtime.emplace(io, *budget, config());
        }
        return *runtime;
    }
    tcp::endpoint address() { return gateway().clients().local_endpoint(); }
    bool becomes_ready() {
        gateway();
        return run_until(io, [&] { return gateway().ready(); });
    }
    // Runs the event loop for at least `span`.
    bool time_passes(std::chrono::milliseconds span) {
        const auto until = std::chrono::steady_clock::now() + span;
        return run_until(io, [&] { return std::chrono::steady_clock::now() >= until; });
    }
    bool answered(const Client& client, std::size_t count = 1) {
        return run_until(io, [&] { return client.answers().size() >= count; });
    }
};

}  // namespace gateway::server::test

// The host pool with the results that it reports, for tests against hosts on the loopback interface.
#pragma once

#include "host_pool.h"
#include "loopback.h"

namespace gateway::server::test {

struct HostPoolTest : ::testing::Test {
    struct Result {
        HostPool::AttemptKey key;
        std::string uid;
        HostResult result;
    };
    asio::io_context io;
    SocketBudget budget{40};
    std::vector<Result> results;  // of attempts
    std::vector<Result> health_checks;
    std::chrono::microseconds host_idle_timeout = 30s;
    std::chrono::microseconds min_idle_time = 0ms;
    // Created by the first call of `pool`, so that a test can set the values above first.
    std::optional<HostPool> created;

    HostPool& pool() {
        if (!created)
            created.emplace(io, budget, 200ms, host_idle_timeout,
                            HostPool::Callbacks{[this](const auto& key, const auto& uid, auto&& result) {
                                                    results.push_back({key, uid, std::move(result)});
                                                },
                                                [this](const auto& uid, auto&& result) {
                                                    health_checks.push_back({{}, uid, std::move(result)});
                                                }},
                            min_idle_time);
        return *created;
    }
    // Applies a list that contains one host.
    void update_host(const tcp::endpoint& address, EndpointState state = EndpointState::ready,
                     const std::string& uid = "h") {
        Endpoint listed;
        listed.uid = uid;
        listed.address = address;
        listed.state = state;
        pool().update({1, false, {listed}});
    }
    // Sends the first attempt of a request to the host "h".
    void send(std::uint64_t id, std::chrono::microseconds timeout = 15s) {
        Request message(http::verb::get, "/api?q=1", 11);
        std::string trace("t");
        message.set("X-Trace-Id", trace.append(std::to_string(id)));
        pool().attempt({id, 0}, "h", message, timeout);
    }
    // Sends the first attempt of a request with a body, which the host has to receive within
    // `delivery_timeout`; empty: no such limit.
    void send_body(std::uint64_t id, std::size_t body_bytes,
                   std::optional<std::chrono::microseconds> delivery_timeout) {
        Request message(http::verb::post, "/api", 11);
        message.set("X-Trace-Id", "t");
        message.body().assign(body_bytes, 'x');
        message.prepare_payload();
        pool().attempt({id, 0}, "h", message, 15s, delivery_timeout);
    }
    // Runs the event loop for `span`. Returns whether more than `ended` attempts have ended.
    bool run_for(std::chrono::milliseconds span, std::size_t ended = 0) {
        const auto until = Steady::now() + span;
        EXPECT_TRUE(run_until(io, [&] { return Steady::now() >= until; }));
        return results.size() > ended;
    }
    // Returns the outcome of one attempt at a host with this handler.
    HostOutcome outcome(Server::Handler handler, std::chrono::microseconds timeout = 15s) {
        Server host(io, std::move(handler));
        update_host(host.endpoint());
        const std::size_t before = results.size();
        send(before + 1, timeout);
        EXPECT_TRUE(run_until(io, [&] { return results.size() > before; }));
        return results.back().result.outcome;
    }
};

}  // namespace gateway::server::test

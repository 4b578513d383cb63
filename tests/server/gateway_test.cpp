// Requests that the gateway forwards: deadlines, quotas, retries, bodies, metrics and configuration.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

TEST_F(GatewayTest, ServesARequestAndKeepsTheConnectionAlive) {
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
    EXPECT_EQ(client.answers()[0].body(), "served");
    EXPECT_EQ(host.targets[0], "/api/x?y=1");
    EXPECT_EQ(host.requests[0]["X-Trace-Id"], "a");
    // The connection to the host becomes idle after the response.
    ASSERT_TRUE(time_passes(20ms));
    client.send(request("b"));
    ASSERT_TRUE(answered(client, 2));
    EXPECT_FALSE(client.closed());
    EXPECT_EQ(host.peers.size(), 1u);
}

// The next three tests guard against a gateway that counts the time until a request expires from its parsing
// rather than from its arrival: the gateway would forward the request and answer long after the client has
// stopped waiting.
TEST_F(GatewayTest, ARequestThatExpiresBeforeTheGatewayOpensIsRejectedAtOnce) {
    endpoint_list.clear();
    extra_config = R"("known":)" + complete_list(7, endpoint_entry("h", host.address())) + ",";
    gateway();
    Client client(io, address());
    client.send(request("a", {}, "read", 50ms));
    // The answer follows after the wait for discovery's first list.
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 429u);
    EXPECT_TRUE(host.requests.empty());
}

TEST_F(GatewayTest, ARequestThatExpiresBehindAnotherIsRejectedAtOnce) {
    std::vector<std::shared_ptr<Server::Peer>> held_requests;
    on_request = [&](Server::Peer& peer) { held_requests.push_back(peer.shared_from_this()); };
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a") + request("b", {}, "read", 20ms));
    ASSERT_TRUE(run_until(io, [&] { return held_requests.size() == 1; }));
    ASSERT_TRUE(time_passes(30ms));
    held_requests[0]->ok("served");
    ASSERT_TRUE(answered(client, 2));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
    EXPECT_EQ(client.answers()[1].result_int(), 429u);
    EXPECT_EQ(host.requests.size(), 1u);
}

TEST_F(GatewayTest, ARequestThatExpiresDuringThePauseAfterAnInvalidOneIsRejectedAtOnce) {
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    // Each invalid request doubles the pause after it, to 160 ms after the last one.
    for (std::size_t invalid = 1; invalid <= 4; ++invalid) {
        client.send("GET /api HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(answered(client, invalid));
    }
    client.send(request("a", {}, "read", 5ms));
    ASSERT_TRUE(answered(client, 5));
    EXPECT_EQ(client.answers()[4].result_int(), 429u);
    EXPECT_TRUE(host.requests.empty());
}

TEST_F(GatewayTest, MetricsCountRejectionsAndClosedConnectionsByReason) {
    plan = R"({"name":"basic","rate":0.001,"mostAtOnce":2,"excessCost":1,"worthFactor":1})";
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    for (std::size_t call = 1; call <= 6; ++call) {
        client.send(request(std::string("a").append(std::to_string(call))));
        ASSERT_TRUE(answered(client, call));
    }
    client.close();
    const auto metrics_contain = [&](const std::string& line) {
        return gateway().metrics().find(line) != std::string::npos;
    };
    EXPECT_TRUE(run_until(io, [&] {
        return metrics_contain(
            "api_gateway_client_connections_closed_total{reason=\"closed_by_client\"} 1\n");
    }));
    EXPECT_TRUE(metrics_contain("api_gateway_requests_total 6\n"));
    EXPECT_TRUE(metrics_contain("api_gateway_rejections_total{reason=\"over_quota\"} 5\n"))
        << gateway().metrics();
    EXPECT_TRUE(metrics_contain("api_gateway_attempts_ended_total{outcome=\"success\"} 1\n"))
        << gateway().metrics();
    EXPECT_TRUE(metrics_contain("api_gateway_rule_violations_total 0\n"));
}

TEST_F(GatewayTest, ACustomerOverItsQuotaIsRejectedAtOnceWithRetryAfter) {
    plan = R"({"name":"basic","rate":0.001,"mostAtOnce":2,"excessCost":1,"worthFactor":1})";
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    std::size_t sent = 0;
    do {
        client.send(request(std::string("r").append(std::to_string(sent++))));
        ASSERT_TRUE(answered(client, sent));
    } while (client.answers().back().result_int() == 200u && sent < 10);
    EXPECT_EQ(client.answers().back().result_int(), 429u);
    EXPECT_GT(std::stod(std::string(client.answers().back()["Retry-After"])), 0.0);
    EXPECT_LE(host.requests.size(), 2u);
}

TEST_F(GatewayTest, ARequestThatABrokenHostResetsIsRetriedAtAnother) {
    Server broken(io, [](auto& peer) { peer.reset(); });
    endpoint_list =
        complete_list(1, endpoint_entry("b", broken.address()) + "," + endpoint_entry("h", host.address()));
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    for (std::size_t i = 1; broken.requests.empty() && i < 50; ++i) {
        client.send(request(std::string("r").append(std::to_string(i))));
        ASSERT_TRUE(answered(client, i));
        EXPECT_EQ(client.answers().back().result_int(), 200u);
    }
    EXPECT_FALSE(broken.requests.empty());
}

TEST_F(GatewayTest, ARequestIsAnsweredByItsDeadlineWhenItsHostDoesNotRespond) {
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    std::string text = request("a");
    text.replace(text.find("15000"), 5, "100");
    client.send(text);
    ASSERT_TRUE(answered(client));
    EXPECT_NE(client.answers()[0].result_int(), 200u);
    // The client receives no second answer.
    EXPECT_EQ(client.answers().size(), 1u);
}

TEST_F(GatewayTest, AReloadMovesTheWatchAndKeepsTheListInUse) {
    ASSERT_TRUE(becomes_ready());
    Server other(io, [](auto& peer) { peer.ok("other"); });
    // The list that the new discovery server sends; it does not respond while this is empty.
    std::string next_list;
    Server next(io, [&](auto& peer) {
        if (!next_list.empty() && peer.request.target().find("from=") == std::string::npos)
            peer.ok(next_list);
    });
    Config moved_config = config();
    moved_config.discovery = next.endpoint();
    gateway().reload(moved_config);
    ASSERT_TRUE(run_until(io, [&] { return next.requests.size() == 1; }));
    EXPECT_EQ(next.targets[0], "/catalog/members");
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), "served");
    // The version of the list is lower than that of the previous discovery server.
    next_list = complete_list(0, endpoint_entry("o", other.address()));
    ASSERT_TRUE(run_until(io, [&] {
        return next.requests.size() > 1 && next.targets.back().find("from=0&") != std::string::npos;
    }));
    client.send(request("b"));
    ASSERT_TRUE(answered(client, 2));
    EXPECT_EQ(client.answers()[1].body(), "other");
    const std::size_t before = discovery.requests.size();
    // Back to the previous discovery server.
    gateway().reload(config());
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() > before; }));
    EXPECT_EQ(discovery.targets.back(), "/catalog/members");
}

TEST_F(GatewayTest, AnAddressInUseIsReportedWithItsKey) {
    asio::ip::tcp::acceptor other(io, any_port());
    Config config_in_use = config();
    config_in_use.listen = other.local_endpoint();
    budget.emplace(64);
    try {
        Runtime second(io, *budget, config_in_use);
        FAIL() << "bound an address that is in use";
    } catch (const ConfigError& error) {
        EXPECT_NE(std::string(error.what()).find("listen: expected"), std::string::npos) << error.what();
    }
}

// Guards against the loss of a chunked body: a host once received no body, because the forwarded request did
// not state its length.
TEST_F(GatewayTest, AChunkedRequestReachesTheHostWithItsCompleteBody) {
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    std::string text = request("a", "Transfer-Encoding: chunked\r\n", "book");
    text.replace(0, 3, "POST");
    client.send(text + "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n");
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
    EXPECT_EQ(host.requests.at(0).body(), "abcde");
}

TEST_F(GatewayTest, AHeadRequestIsForwardedAndAnsweredWithoutABody) {
    ASSERT_TRUE(becomes_ready());
    on_request = [](auto& peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"); };
    Client client(io, address());
    std::string text = request("a");
    client.send("HEAD" + text.substr(3));
    ASSERT_TRUE(run_until(io, [&] { return client.received().find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(client.received().substr(0, 12), "HTTP/1.1 200");
    EXPECT_NE(client.received().find("Content-Length: 7\r\n"), std::string::npos);
    EXPECT_EQ(client.received().substr(client.received().size() - 4), "\r\n\r\n");
    EXPECT_EQ(host.requests.at(0).method(), http::verb::head);
}

TEST_F(GatewayTest, ASlowBodyIsAcceptedAsLongAsItMakesProgress) {
    ASSERT_TRUE(becomes_ready());
    Client client(io, address()), stuck(io, address());
    std::string text = request("a", "Content-Length: 32768\r\n", "book");
    text.replace(0, 3, "POST");
    client.send(text);
    text.replace(text.find("X-Trace-Id: a") + 12, 1, "b");
    stuck.send(text);
    const auto begin = std::chrono::steady_clock::now();
    bool stuck_ended = false;
    for (int i = 1; i <= 16; ++i) {
        const auto next = begin + i * 200ms;
        ASSERT_TRUE(run_until(io, [&] { return std::chrono::steady_clock::now() >= next; }));
        if (!stuck_ended && stuck.closed()) {
            stuck_ended = true;
            EXPECT_LT(std::chrono::steady_clock::now() - begin, 3s);
        }
        client.send(std::string(2048, 'x'));
    }
    EXPECT_TRUE(stuck_ended);
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
    EXPECT_EQ(host.requests.at(0).body().size(), 32768u);
}

// Regression: the backlog counted as not empty from the start until the first accept, so the first request of
// an idle gateway counted as half a second old.
TEST_F(GatewayTest, TheFirstRequestAfterAQuietStartHasItsWholeTime) {
    ASSERT_TRUE(becomes_ready());
    EXPECT_TRUE(time_passes(600ms));
    Client client(io, address());
    client.send(request("a", "", "read", 300ms));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
}

}  // namespace
}  // namespace gateway::server::test

// Tests of admin calls on a complete gateway: bans of hosts, and standby.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

std::string post(const std::string& path, const std::string& body = {}) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct OperatorTest : GatewayTest {
    void SetUp() override {
        GatewayTest::SetUp();
        extra_config = R"("mgmt":"127.0.0.1:0",)";
    }
    // Makes an admin call and returns the status of the answer, or 0 if there is none.
    unsigned call(const std::string& text) {
        Client caller(io, gateway().admin_server()->local_endpoint());
        caller.send(text);
        EXPECT_TRUE(run_until(io, [&] { return caller.closed(); }));
        return caller.answers().empty() ? 0u : caller.answers()[0].result_int();
    }
    // Returns the status of a health check of the gateway, or 0 if there is no answer.
    unsigned health_status() {
        Client client(io, address());
        client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_TRUE(answered(client));
        return client.answers().empty() ? 0u : client.answers()[0].result_int();
    }
};

TEST_F(OperatorTest, ABannedHostGetsNoRequestsUntilItIsUnbannedEvenIfItIsListed) {
    Server other(io, [](auto& peer) { peer.ok("other"); });
    endpoint_list =
        complete_list(1, endpoint_entry("h", host.address()) + "," + endpoint_entry("g", other.address()));
    ASSERT_TRUE(becomes_ready());
    EXPECT_EQ(call(post("/maintenance/enter", "nobody")), 404u);
    EXPECT_EQ(call(post("/maintenance/enter", "h")), 200u);
    EXPECT_EQ(call(post("/maintenance/enter", "h")), 200u);
    endpoint_list =
        complete_list(2, endpoint_entry("h", host.address()) + "," + endpoint_entry("g", other.address()));
    const std::size_t earlier_calls = discovery.requests.size();
    for (const auto& peer : discovery.peers) peer->close();
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() >= earlier_calls + 2; }));
    Client client(io, address());
    for (std::size_t i = 1; i <= 20; ++i) {
        client.send(request("a" + std::to_string(i)));
        ASSERT_TRUE(answered(client, i));
        EXPECT_EQ(client.answers().back().body(), "other");
    }
    EXPECT_EQ(host.requests.size(), 0u);
    EXPECT_EQ(call(post("/maintenance/exit", "h")), 200u);
    EXPECT_EQ(call(post("/maintenance/exit", "h")), 200u);
    for (std::size_t i = 21; host.requests.empty() && i < 2000; ++i) {
        client.send(request("a" + std::to_string(i)));
        ASSERT_TRUE(answered(client, i));
    }
    EXPECT_GT(host.requests.size(), 0u);
}

TEST_F(OperatorTest, OnStandbyRequestsAreAnsweredAndConnectionsClosedUntilActive) {
    ASSERT_TRUE(becomes_ready());
    EXPECT_EQ(call("GET /status HTTP/1.1\r\nHost: x\r\n\r\n"), 200u);
    Client idle_client(io, address()), health_checker(io, address());
    idle_client.send(request("a"));
    health_checker.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(idle_client) && answered(health_checker));
    EXPECT_EQ(call(post("/standby")), 200u);
    EXPECT_TRUE(run_until(io, [&] { return idle_client.closed() && health_checker.closed(); }));
    EXPECT_EQ(health_status(), 503u);
    EXPECT_EQ(call("GET /status HTTP/1.1\r\nHost: x\r\n\r\n"), 200u);
    Client client_on_standby(io, address());
    client_on_standby.send(request("b"));
    EXPECT_TRUE(run_until(io, [&] { return client_on_standby.closed(); }));
    ASSERT_EQ(client_on_standby.answers().size(), 1u);
    EXPECT_EQ(client_on_standby.answers()[0].result_int(), 200u);
    EXPECT_FALSE(client_on_standby.answers()[0].keep_alive());
    EXPECT_EQ(call(post("/active")), 200u);
    EXPECT_EQ(health_status(), 200u);
    Client client_after_active(io, address());
    client_after_active.send(request("c"));
    ASSERT_TRUE(answered(client_after_active));
    EXPECT_TRUE(client_after_active.answers()[0].keep_alive());
}

}  // namespace
}  // namespace gateway::server::test

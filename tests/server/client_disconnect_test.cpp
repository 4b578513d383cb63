// Clients that disconnect, or send further data, while their request is in flight.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

TEST_F(GatewayTest, ADisconnectedClientReleasesItsConnectionAndTheNextClientIsServed) {
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    {
        Client client(io, address());
        client.send(request("a"));
        ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
        client.close();
    }
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 0; }));
    host.peers[0]->ok("to nobody");
    on_request = [](auto& peer) { peer.ok("next"); };
    Client client(io, address());
    client.send(request("b"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), "next");
}

// Guards against connections to hosts that are established only after the end of their request and still
// carry the request to a host. In one case, a third of the connections were established late, some of them
// after the end of their request.
TEST_F(GatewayTest, AnUnsentAttemptEndsWhenItsClientDisconnects) {
    UnreachableServer unreachable(io);
    endpoint_list =
        complete_list(1, endpoint_entry("n", "127.0.0.1:" + std::to_string(unreachable.endpoint().port())));
    extra_ceilings = R"("connectTimeoutUs":14000000,)";
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::host) == 1; }));
    client.close();
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 0; }));
    EXPECT_EQ(budget->in_use(SocketBudget::Side::host), 0u);
}

TEST_F(GatewayTest, AnUnsentHedgeEndsWhenTheFirstAttemptIsAnswered) {
    UnreachableServer unreachable(io);
    deadline_ms = 4000;
    extra_ceilings = R"("connectTimeoutUs":14000000,"mayDuplicate":true,)";
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    std::size_t requests_received = 0;
    for (; requests_received < 5; ++requests_received) {
        client.send(request(std::string("r").append(std::to_string(requests_received))));
        ASSERT_TRUE(answered(client, requests_received + 1) && time_passes(20ms));
    }
    on_request = [](auto&) {};
    client.send(request("slow"));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == requests_received + 1; }));
    endpoint_list = complete_list(
        2, endpoint_entry("h", host.address()) + "," +
               endpoint_entry("n", "127.0.0.1:" + std::to_string(unreachable.endpoint().port())));
    for (const auto& peer : discovery.peers) peer->close();
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::host) == 2; }));
    host.peers[0]->ok("first");
    ASSERT_TRUE(answered(client, requests_received + 1));
    EXPECT_EQ(client.answers().back().body(), "first");
    // The kept-alive connection of the first attempt.
    EXPECT_EQ(budget->in_use(SocketBudget::Side::host), 1u);
}

// Guards against clients that send much data and then disconnect: unread bytes must not hide the disconnect.
TEST_F(GatewayTest, ADisconnectBehindUnreadBytesCancelsTheAttempt) {
    extra_ceilings = R"("cancel":true,)";
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    for (const std::size_t excess_bytes : {5000u, 40000u}) {
        Client client(io, address());
        client.send(request("a") + std::string(excess_bytes, 'x'));
        const std::size_t requests_received = host.requests.size();
        ASSERT_TRUE(run_until(io, [&] { return host.requests.size() > requests_received; })) << excess_bytes;
        client.close();
        const auto disconnected_at = std::chrono::steady_clock::now();
        ASSERT_TRUE(run_until(io, [&] { return host.peers.back()->closed; })) << excess_bytes;
        // The request's deadline is 15 s.
        EXPECT_LT(std::chrono::steady_clock::now() - disconnected_at, 1s) << excess_bytes;
    }
}

TEST_F(GatewayTest, AClientThatSendsExcessDataIsAnsweredAndDisconnected) {
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a") + std::string(40000, 'x'));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
    ASSERT_TRUE(time_passes(50ms));
    host.peers[0]->ok("served");
    ASSERT_TRUE(run_until(io, [&] { return client.closed(); }));
    ASSERT_EQ(client.answers().size(), 1u);
    EXPECT_EQ(client.answers()[0].body(), "served");
    // A client that never stops sending is disconnected.
    Client flooding_client(io, address());
    flooding_client.send(request("b"));
    try {
        for (int i = 0; i < 40 && !flooding_client.closed(); ++i) {
            flooding_client.send(std::string(16384, 'x'));
            ASSERT_TRUE(time_passes(2ms));
        }
    } catch (const boost::system::system_error&) {
        // The gateway closed the connection during a write.
    }
    EXPECT_TRUE(run_until(io, [&] { return flooding_client.closed(); }));
    EXPECT_TRUE(flooding_client.answers().empty());
}

// Regression: while the input of a connection is deferred, only a part of it is read, and the rest hid that
// the client had left. Its request was sent on at the end of the pause after a rejected one.
TEST_F(GatewayTest, ARequestWhoseClientHasLeftDuringAPauseIsNotForwarded) {
    ASSERT_TRUE(becomes_ready());
    const std::string body(20000, 'x');
    const std::string long_request =
        request("a", "Content-Length: " + std::to_string(body.size()) + "\r\n", "book")
            .replace(0, 3, "POST") +
        body;
    Client client(io, address());
    client.send("GET /wrong HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(client));
    client.send(long_request);
    client.close();
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 0; }));
    EXPECT_TRUE(time_passes(50ms));
    EXPECT_TRUE(host.requests.empty());
    Client staying(io, address());
    staying.send(long_request);
    ASSERT_TRUE(answered(staying));
    EXPECT_EQ(staying.answers()[0].result_int(), 200u);
}

// Regression: a client that left and sent its request again had it executed twice, also a request that is not
// idempotent.
TEST_F(GatewayTest, ARequestThatComesAgainAfterItsClientHasLeftIsNotExecutedTwice) {
    extra_ceilings = R"("cancel":true,)";
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    const auto post = [](const std::string& id) {
        return request(id, "Content-Length: 0\r\n", "book").replace(0, 3, "POST");
    };
    {
        Client leaving(io, address());
        leaving.send(post("a"));
        ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
        leaving.close();
    }
    ASSERT_TRUE(run_until(io, [&] { return host.peers[0]->closed; }));
    on_request = [](auto& peer) { peer.ok("served"); };
    Client again(io, address());
    again.send(post("a") + post("b"));
    ASSERT_TRUE(answered(again, 2));
    EXPECT_EQ(again.answers()[0].result_int(), 409u);
    EXPECT_EQ(again.answers()[1].result_int(), 200u);
    EXPECT_EQ(host.requests.size(), 2u);
}

}  // namespace
}  // namespace gateway::server::test

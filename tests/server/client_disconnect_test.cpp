// Clients that disconnect, or send on, while their request is in flight.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

TEST_F(GatewayTest, AClientThatLeavesIsNoLoss) {
    on_request = [](auto&) {};
    ASSERT_TRUE(starts());
    {
        Client client(io, address());
        client.say(request("a"));
        ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
        client.close();
    }
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 0; }));
    host.peers[0]->ok("to nobody");
    on_request = [](auto& peer) { peer.ok("next"); };
    Client client(io, address());
    client.say(request("b"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), "next");
}

// Found on the narrow days: a third of the connections came up late, some after the request's end, and
// carried it to a host all the same.
TEST_F(GatewayTest, AnAttemptThatHasNotBeenSentEndsWithItsClient) {
    NeverUp late(io);
    endpoint_list =
        complete_list(1, endpoint_entry("n", "127.0.0.1:" + std::to_string(late.endpoint().port())));
    may = R"("connectTimeoutUs":14000000,)";
    ASSERT_TRUE(starts());
    Client client(io, address());
    client.say(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::host) == 1; }));
    client.close();
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 0; }));
    EXPECT_EQ(budget->in_use(SocketBudget::Side::host), 0u);
}

TEST_F(GatewayTest, AHedgeThatHasNotBeenSentEndsWithTheAnswerToTheFirstAttempt) {
    NeverUp late(io);
    deadline_ms = 4000;
    may = R"("connectTimeoutUs":14000000,"mayDuplicate":true,)";
    ASSERT_TRUE(starts());
    Client client(io, address());
    std::size_t asked = 0;
    for (; asked < 5; ++asked) {
        client.say(request(std::string("r").append(std::to_string(asked))));
        ASSERT_TRUE(answered(client, asked + 1) && time_passes(20ms));
    }
    on_request = [](auto&) {};
    client.say(request("slow"));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == asked + 1; }));
    endpoint_list =
        complete_list(2, endpoint_entry("h", host.address()) + "," +
                             endpoint_entry("n", "127.0.0.1:" + std::to_string(late.endpoint().port())));
    for (const auto& peer : discovery.peers) peer->close();
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::host) == 2; }));
    host.peers[0]->ok("first");
    ASSERT_TRUE(answered(client, asked + 1));
    EXPECT_EQ(client.answers().back().body(), "first");
    EXPECT_EQ(budget->in_use(SocketBudget::Side::host), 1u);  // the kept connection
}

// On the narrow days some clients send much at once and go.
TEST_F(GatewayTest, AClientThatLeavesBehindMuchUnreadIsNoticed) {
    may = R"("cancel":true,)";
    on_request = [](auto&) {};
    ASSERT_TRUE(starts());
    for (const std::size_t behind : {5000u, 40000u}) {
        Client client(io, address());
        client.say(request("a") + std::string(behind, 'x'));
        const std::size_t asked = host.requests.size();
        ASSERT_TRUE(run_until(io, [&] { return host.requests.size() > asked; })) << behind;
        client.close();
        const auto left = std::chrono::steady_clock::now();
        ASSERT_TRUE(run_until(io, [&] { return host.peers.back()->closed; })) << behind;
        EXPECT_LT(std::chrono::steady_clock::now() - left, 1s) << behind;  // its time has 15 s
    }
}

TEST_F(GatewayTest, AClientThatSendsOnBehindItsRequestHasItsAnswerAndAnEnd) {
    on_request = [](auto&) {};
    ASSERT_TRUE(starts());
    Client client(io, address());
    client.say(request("a") + std::string(40000, 'x'));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
    ASSERT_TRUE(time_passes(50ms));
    host.peers[0]->ok("served");
    ASSERT_TRUE(run_until(io, [&] { return client.ended(); }));
    ASSERT_EQ(client.answers().size(), 1u);
    EXPECT_EQ(client.answers()[0].body(), "served");
    // Without an end it is not read for ever.
    Client flood(io, address());
    flood.say(request("b"));
    try {
        for (int i = 0; i < 40 && !flood.ended(); ++i) {
            flood.say(std::string(16384, 'x'));
            ASSERT_TRUE(time_passes(2ms));
        }
    } catch (const boost::system::system_error&) {  // closed as it was written to
    }
    EXPECT_TRUE(run_until(io, [&] { return flood.ended(); }));
    EXPECT_TRUE(flood.answers().empty());
}

}  // namespace
}  // namespace gateway::server::test

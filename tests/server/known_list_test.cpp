// Tests of a start with an endpoint list from the configuration, before discovery has answered, and of the
// health status meanwhile.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

// Regression: a poll for the complete list starts no watch, so each gateway made a second call for its watch.
// The first calls of all gateways were twice what discovery can serve, and most of them were rejected.
TEST_F(GatewayTest, InSubscribeModeTheFirstPollStartsFromTheKnownList) {
    membership_mode = "subscribe";
    extra_config = R"("known":)" + complete_list(7, endpoint_entry("h", host.address())) + ",";
    endpoint_list = R"({"rev":9,"all":false,"targets":[]})";
    on_list_call = [this](Server::Peer& peer) {
        if (peer.request.target().find("hold_ms=0") != std::string::npos) peer.ok(endpoint_list);
    };
    ASSERT_TRUE(becomes_ready());
    ASSERT_TRUE(run_until(io, [&] { return discovery.targets.size() >= 2; }));
    EXPECT_EQ(discovery.targets[0], "/catalog/members?from=7&hold_ms=0");
    EXPECT_EQ(discovery.targets[1].substr(0, 33), "/catalog/members?from=9&hold_ms=1");
}

// If discovery has restarted its version numbers, a watch from the known version might never be answered.
TEST_F(GatewayTest, IfDiscoverysVersionIsOlderTheCompleteListIsPolled) {
    membership_mode = "subscribe";
    extra_config = R"("known":)" + complete_list(7, endpoint_entry("gone", "127.0.0.1:1")) + ",";
    on_list_call = [this](Server::Peer& peer) {
        if (peer.request.target() == "/catalog/members")
            peer.ok(complete_list(2, endpoint_entry("h", host.address())));
        else if (peer.request.target().find("hold_ms=0") != std::string::npos)
            peer.ok(R"({"rev":2,"all":false,"targets":[]})");
    };
    ASSERT_TRUE(becomes_ready());
    ASSERT_TRUE(run_until(io, [&] { return discovery.targets.size() >= 3; }));
    EXPECT_EQ(discovery.targets[1], "/catalog/members");
    EXPECT_EQ(discovery.targets[2].substr(0, 24), "/catalog/members?from=2&");
}

TEST_F(GatewayTest, TheHealthStatusIs503UntilAHostIsReady) {
    endpoint_list = complete_list(1, "");
    gateway();
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() >= 2; }));
    Client client(io, address());
    client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 503u);
    endpoint_list = complete_list(2, endpoint_entry("h", host.address()));
    for (const auto& peer : discovery.peers) peer->close();
    ASSERT_TRUE(becomes_ready());
    client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(client, 2));
    EXPECT_EQ(client.answers()[1].result_int(), 200u);
}

TEST_F(GatewayTest, ServesFromTheKnownListWhileDiscoveryDoesNotRespond) {
    endpoint_list.clear();
    extra_config = R"("known":)" + complete_list(7, endpoint_entry("h", host.address())) + ",";
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
}

TEST_F(GatewayTest, RequestsWaitBrieflyForTheFirstAnswerOfDiscovery) {
    std::string next_list = std::exchange(endpoint_list, {});
    Server removed_host(io, [](auto& peer) { peer.ok("left"); });
    extra_config = R"("known":)" + complete_list(7, endpoint_entry("l", removed_host.address())) + ",";
    gateway();
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() == 1; }));
    while (io.poll() > 0) {  // runs all handlers that are ready after the request
    }
    EXPECT_TRUE(removed_host.requests.empty());
    endpoint_list = next_list;
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), "served");
    EXPECT_TRUE(removed_host.requests.empty());
}

}  // namespace
}  // namespace gateway::server::test

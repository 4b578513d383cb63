// Start from a list of endpoints known before discovery answers, and what health says meanwhile.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

// Found on harbor-yard's throng day: a call for the whole list starts no watch, and the watch behind it was
// one more call, so that the gateways' first calls were twice what discovery serves and most were turned
// away.
TEST_F(GatewayTest, WhereListsAreAskedForTheWatchBeginsFromTheKnownList) {
    mode = "subscribe";
    extra = R"("known":)" + complete_list(7, endpoint_entry("h", host.address())) + ",";
    endpoint_list = R"({"rev":9,"all":false,"targets":[]})";
    on_list_call = [this](Server::Peer& peer) {
        if (peer.request.target().find("hold_ms=0") != std::string::npos) peer.ok(endpoint_list);
    };
    ASSERT_TRUE(starts());
    ASSERT_TRUE(run_until(io, [&] { return discovery.targets.size() >= 2; }));
    EXPECT_EQ(discovery.targets[0], "/catalog/members?from=7&hold_ms=0");
    EXPECT_EQ(discovery.targets[1].substr(0, 33), "/catalog/members?from=9&hold_ms=1");
}

// A discovery that counts its versions anew would let a watch from the known one hang for good.
TEST_F(GatewayTest, AKnownListNewerThanDiscoverysIsAskedForWhole) {
    mode = "subscribe";
    extra = R"("known":)" + complete_list(7, endpoint_entry("gone", "127.0.0.1:1")) + ",";
    on_list_call = [this](Server::Peer& peer) {
        if (peer.request.target() == "/catalog/members")
            peer.ok(complete_list(2, endpoint_entry("h", host.address())));
        else if (peer.request.target().find("hold_ms=0") != std::string::npos)
            peer.ok(R"({"rev":2,"all":false,"targets":[]})");
    };
    ASSERT_TRUE(starts());
    ASSERT_TRUE(run_until(io, [&] { return discovery.targets.size() >= 3; }));
    EXPECT_EQ(discovery.targets[1], "/catalog/members");
    EXPECT_EQ(discovery.targets[2].substr(0, 24), "/catalog/members?from=2&");
}

TEST_F(GatewayTest, HealthTellsWhetherRequestsCanBeServed) {
    endpoint_list = complete_list(1, "");
    gateway();
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() >= 2; }));
    Client client(io, address());
    client.say("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 503u);
    endpoint_list = complete_list(2, endpoint_entry("h", host.address()));
    for (const auto& peer : discovery.peers) peer->close();
    ASSERT_TRUE(starts());
    client.say("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(client, 2));
    EXPECT_EQ(client.answers()[1].result_int(), 200u);
}

TEST_F(GatewayTest, StartsFromTheKnownListWhileDiscoveryIsSilent) {
    endpoint_list.clear();
    extra = R"("known":)" + complete_list(7, endpoint_entry("h", host.address())) + ",";
    ASSERT_TRUE(starts());
    Client client(io, address());
    client.say(request("a"));
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].result_int(), 200u);
}

TEST_F(GatewayTest, NoRequestIsSentByTheKnownListWhileDiscoveryIsAboutToAnswer) {
    std::string next_list = std::exchange(endpoint_list, {});
    Server left(io, [](auto& peer) { peer.ok("left"); });
    extra = R"("known":)" + complete_list(7, endpoint_entry("l", left.address())) + ",";
    gateway();
    Client client(io, address());
    client.say(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return discovery.requests.size() == 1; }));
    while (io.poll() > 0) {  // all that the request can bring about by itself
    }
    EXPECT_TRUE(left.requests.empty());
    endpoint_list = next_list;
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), "served");
    EXPECT_TRUE(left.requests.empty());
}

}  // namespace
}  // namespace gateway::server::test

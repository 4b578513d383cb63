// Tests of peer messages over UDP sockets on the loopback interface.
#include "peer_link.h"

#include "loopback.h"

namespace gateway::server::test {
namespace {

TEST(PeerLink, IdentifiesSendersByAddressAndDropsUnknownSendersAndLongMessages) {
    asio::io_context io;
    using Udp = asio::ip::udp;
    const Udp::endpoint loopback(asio::ip::address_v4::loopback(), 0);
    Udp::socket peer(io, loopback), unknown_sender(io, loopback), all_peers_receiver(io, loopback);
    std::vector<std::pair<int, std::string>> received;
    // Rank 0 is this gateway, which is never accepted as a sender.
    PeerLink link(io, loopback, {{asio::ip::address_v4::loopback(), 9}, peer.local_endpoint()},
                  all_peers_receiver.local_endpoint(), 0,
                  [&](int from, std::string_view bytes) { received.emplace_back(from, bytes); });
    unknown_sender.send_to(asio::buffer("stranger", 8), link.local_endpoint());
    peer.send_to(asio::buffer(std::string(257, 'x')), link.local_endpoint());
    peer.send_to(asio::buffer("hi", 2), link.local_endpoint());
    ASSERT_TRUE(run_until(io, [&] { return !received.empty(); }));
    ASSERT_EQ(received.size(), 1u);
    EXPECT_EQ(received[0], std::make_pair(1, std::string("hi")));

    std::array<char, 512> bytes{};
    Udp::endpoint from;
    link.send(1, std::string(257, 'y'));  // too long, so it is dropped
    link.send(1, "one");
    EXPECT_EQ(peer.receive_from(asio::buffer(bytes), from), 3u);
    EXPECT_EQ(from, link.local_endpoint());
    link.send(-1, "all");
    EXPECT_EQ(all_peers_receiver.receive_from(asio::buffer(bytes), from), 3u);
}

}  // namespace
}  // namespace gateway::server::test

// Whoever writes goes on after a short write: the socket was writable all along, so no event tells of it.
#include "short_writes.h"

#include "discovery.h"
#include "host_pool.h"
#include "loopback.h"
#include "mgmt_door.h"
#include "runtime.h"

namespace spartrack::test {
namespace {

constexpr std::size_t calls = 20;

TEST(ShortWrites, EachAnswerToAClientComesWhole) {
    asio::io_context io;
    SocketBudget budget(64);
    std::optional<ClientServer> server;
    server.emplace(io, any_port(), budget, std::size_t{1} << 20,
                   ClientServer::Callbacks{
                       [&](ClientRequest&& request) {
                           server->answer(request.id, make_answer(http::status::ok, std::string(2000, 'x')));
                       },
                       [](std::uint64_t) {}, [] { return true; }});
    server->open();
    const ShortWrites short_writes;
    Client client(io, server->local_endpoint());
    for (std::size_t call = 1; call <= calls; ++call) {
        client.say("GET /api HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(run_until(io, [&] { return client.answers().size() == call; })) << call;
    }
}

TEST(ShortWrites, EachCallToDiscoveryGoesOut) {
    asio::io_context io;
    Server agent(io, [](auto& p) { p.ok(R"({"rev":1,"all":true,"targets":[]})"); });
    std::size_t lists = 0;
    const ShortWrites short_writes;
    Discovery watch(io, agent.endpoint(), [&](const TargetList&) { ++lists; });
    ASSERT_TRUE(run_until(io, [&] { return lists == calls; }));
    EXPECT_EQ(agent.peers.size(), 1u);
}

TEST(ShortWrites, EachOperatorsCallIsAnswered) {
    asio::io_context io;
    MgmtDoor door(io, any_port(), [](const MgmtCall&) { return http::status::ok; });
    const ShortWrites short_writes;
    for (std::size_t call = 0; call < calls; ++call) {
        Client caller(io, door.local_endpoint());
        caller.say("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(run_until(io, [&] { return caller.ended(); }));
        ASSERT_EQ(caller.answers().size(), 1u) << call;
    }
}

}  // namespace
}  // namespace spartrack::test

// System calls that fail for a moment or take a part only: all rules hold.
#include "admin_server.h"
#include "discovery.h"
#include "handover.h"
#include "host_pool.h"
#include "loopback.h"
#include "program.h"
#include "runtime.h"
#include "system_call_faults.h"

namespace gateway::server::test {
namespace {

constexpr std::size_t calls = 20;

// Whoever writes goes on after a short write: the socket was writable all along, so no event tells of it.
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
    Discovery watch(io, agent.endpoint(), [&](const EndpointList&) { ++lists; });
    ASSERT_TRUE(run_until(io, [&] { return lists == calls; }));
    EXPECT_EQ(agent.peers.size(), 1u);
}

TEST(ShortWrites, EachOperatorsCallIsAnswered) {
    asio::io_context io;
    AdminServer admin(io, any_port(), [](const AdminCall&) { return http::status::ok; });
    const ShortWrites short_writes;
    for (std::size_t call = 0; call < calls; ++call) {
        Client caller(io, admin.local_endpoint());
        caller.say("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(run_until(io, [&] { return caller.ended(); }));
        ASSERT_EQ(caller.answers().size(), 1u) << call;
    }
}

// A failure of the own machine says nothing of the host: it is tried again while the connect may take.
TEST(FailingConnects, AFailureOfTheOwnMachineIsNotTheHosts) {
    asio::io_context io;
    SocketBudget budget(64);
    Server host(io, [](auto& p) { p.ok("served"); });
    std::vector<HostOutcome> ended;
    HostPool pool(
        io, budget, 500ms, 30s,
        HostPool::Callbacks{[&](const auto&, const auto&, auto&& result) { ended.push_back(result.outcome); },
                            [](const auto&, auto&&) {}});
    Endpoint endpoint;
    endpoint.uid = "h", endpoint.address = host.endpoint(), endpoint.state = EndpointState::ready;
    pool.update({1, false, {endpoint}});
    std::uint64_t id = 0;
    const auto send = [&] {
        Request message(http::verb::get, "/api", 11);
        pool.attempt({++id, 0}, "h", message, 2s);
        return run_until(io, [&] { return ended.size() == id; });
    };
    {
        const FailingCalls failing(SocketCall::connect, {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS});
        ASSERT_TRUE(send());
        EXPECT_EQ(ended.back(), HostOutcome::success);
        host.peers.back()->close();
    }
    {
        const FailingCalls failing(SocketCall::socket, {ENFILE, EMFILE, ENOMEM});
        ASSERT_TRUE(send());
        EXPECT_EQ(ended.back(), HostOutcome::success);
    }
}

// Found by the soak: a restart in a moment without descriptors or buffers ended the process.
TEST(FailingSockets, AGatewayStartsThroughAMomentWithoutDescriptors) {
    asio::io_context io;
    SocketBudget budget(64);
    Server agent(io, [](auto& p) { p.ok(R"({"rev":1,"all":true,"targets":[]})"); });
    const Config config = parse_config(
        R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + agent.address() +
            R"(","settings":{"rank":0,"instances":1,"tickUs":4000,"requestClasses":[{"name":"read",)"
            R"("effect":"retryable","deadlineUs":100000}],"ceilings":{"maxAttempts":4},)"
            R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})",
        [](const char*) { return nullptr; });
    const FailingCalls failing(SocketCall::socket, {ENFILE, ENOBUFS, EMFILE, ENOMEM});
    std::optional<Runtime> gateway;
    ASSERT_NO_THROW(gateway.emplace(io, budget, config));
    Client client(io, gateway->clients().local_endpoint());
    client.say("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(run_until(io, [&] { return client.answers().size() == 1; }));
}

// An accept that fails for a moment leaves the connection in the backlog: a gateway that ends then loses what
// it asks.
TEST(FailingAccepts, AConnectionInTheBacklogIsNotPassedOverAtTheEnd) {
    asio::io_context io;
    SocketBudget budget(64);
    ClientServer server(
        io, any_port(), budget, std::size_t{1} << 20,
        ClientServer::Callbacks{[](ClientRequest&&) {}, [](std::uint64_t) {}, [] { return true; }});
    server.open();
    server.drain();
    tcp::socket client(io);
    client.connect(server.local_endpoint());
    const FailingCalls failing(SocketCall::accept, {ENFILE});
    EXPECT_TRUE(server.take_rest());  // something is there still
    EXPECT_TRUE(server.take_rest());  // and has come now
    EXPECT_FALSE(server.take_rest());
}

// With no descriptors left, the connection that waits would wake the loop at once and for ever.
TEST(FailingAccepts, TheWaitForTheNextProcessDoesNotSpin) {
    asio::io_context io;
    const std::filesystem::path folder = Program::make_folder();
    HandoverPlace place(io, folder.string(), "x");
    bool came = false;
    place.wait([&](std::shared_ptr<HandoverChannel>) { came = true; });
    const FailingCalls failing(SocketCall::accept,
                               {EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE});
    const auto comer = HandoverPlace(io, folder.string(), "x").find();
    ASSERT_NE(comer, nullptr);
    const auto until = std::chrono::steady_clock::now() + 30ms;
    ASSERT_TRUE(run_until(io, [&] { return std::chrono::steady_clock::now() >= until; }));
    EXPECT_GT(failing.left(), 4u);
    ASSERT_TRUE(run_until(io, [&] { return came; }));
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gateway::server::test

// Tests of the server while system calls on its sockets fail temporarily or write only a part.
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

constexpr std::size_t call_count = 20;

// A writer has to continue after a short write without waiting: the socket stays writable, and an
// edge-triggered wait would not end.
TEST(ShortWrites, EachResponseToAClientIsComplete) {
    asio::io_context io;
    SocketBudget budget(64);
    std::optional<ClientServer> server;
    server.emplace(io, any_port(), budget, std::size_t{1} << 20,
                   ClientServer::Callbacks{
                       [&](ClientRequest&& request) {
                           server->answer(request.id, make_answer(http::status::ok, std::string(2000, 'x')));
                       },
                       [](std::uint64_t) {}, [] { return true; }});
    server->accept_requests();
    const ShortWrites short_writes;
    Client client(io, server->local_endpoint());
    for (std::size_t call = 1; call <= call_count; ++call) {
        client.send("GET /api HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(run_until(io, [&] { return client.answers().size() == call; })) << call;
    }
}

TEST(ShortWrites, EachRequestToDiscoveryIsSent) {
    asio::io_context io;
    Server agent(io, [](auto& peer) { peer.ok(R"({"rev":1,"all":true,"targets":[]})"); });
    std::size_t lists = 0;
    const ShortWrites short_writes;
    Discovery discovery(io, agent.endpoint(), [&](const EndpointList&) { ++lists; });
    ASSERT_TRUE(run_until(io, [&] { return lists == call_count; }));
    EXPECT_EQ(agent.peers.size(), 1u);
}

TEST(ShortWrites, EachAdminRequestIsAnswered) {
    asio::io_context io;
    AdminServer admin(io, any_port(), [](const AdminCall&) { return http::status::ok; });
    const ShortWrites short_writes;
    for (std::size_t call = 0; call < call_count; ++call) {
        Client caller(io, admin.local_endpoint());
        caller.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(run_until(io, [&] { return caller.closed(); }));
        ASSERT_EQ(caller.answers().size(), 1u) << call;
    }
}

// A local failure is no fault of the host, so the connect is retried until the connect timeout.
TEST(FailingConnects, AConnectIsRetriedAfterALocalFailure) {
    asio::io_context io;
    SocketBudget budget(64);
    Server host(io, [](auto& peer) { peer.ok("served"); });
    std::vector<HostOutcome> outcomes;
    HostPool pool(io, budget, 500ms, 30s,
                  HostPool::Callbacks{
                      [&](const auto&, const auto&, auto&& result) { outcomes.push_back(result.outcome); },
                      [](const auto&, auto&&) {}});
    Endpoint endpoint;
    endpoint.uid = "h";
    endpoint.address = host.endpoint();
    endpoint.state = EndpointState::ready;
    pool.update({1, false, {endpoint}});
    std::uint64_t id = 0;
    const auto send = [&] {
        Request message(http::verb::get, "/api", 11);
        pool.attempt({++id, 0}, "h", message, 2s);
        return run_until(io, [&] { return outcomes.size() == id; });
    };
    {
        const FailingCalls failing(SocketCall::connect, {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS});
        ASSERT_TRUE(send());
        EXPECT_EQ(outcomes.back(), HostOutcome::success);
        host.peers.back()->close();
    }
    {
        const FailingCalls failing(SocketCall::socket, {ENFILE, EMFILE, ENOMEM});
        ASSERT_TRUE(send());
        EXPECT_EQ(outcomes.back(), HostOutcome::success);
    }
}

// Regression: a process that was started during a temporary shortage of descriptors or buffers exited.
TEST(FailingSockets, AGatewayStartsDuringAShortageOfDescriptors) {
    asio::io_context io;
    SocketBudget budget(64);
    Server agent(io, [](auto& peer) { peer.ok(R"({"rev":1,"all":true,"targets":[]})"); });
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
    client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(run_until(io, [&] { return client.answers().size() == 1; }));
}

// An accept that fails temporarily leaves the connection in the backlog. If the gateway shut down then, the
// request on that connection would be lost.
TEST(FailingAccepts, AConnectionInTheBacklogIsAcceptedBeforeShutdown) {
    asio::io_context io;
    SocketBudget budget(64);
    ClientServer server(
        io, any_port(), budget, std::size_t{1} << 20,
        ClientServer::Callbacks{[](ClientRequest&&) {}, [](std::uint64_t) {}, [] { return true; }});
    server.accept_requests();
    server.drain();
    tcp::socket client(io);
    client.connect(server.local_endpoint());
    const FailingCalls failing(SocketCall::accept, {ENFILE});
    EXPECT_TRUE(server.accept_backlog());  // the accept fails: the connection is still in the backlog
    EXPECT_TRUE(server.accept_backlog());  // the connection is accepted
    EXPECT_FALSE(server.accept_backlog());
}

// While no descriptor is free, a connection in the backlog keeps the handover socket readable. Retrying
// the accept without a delay would be a busy loop.
TEST(FailingAccepts, AFailedAcceptOfASuccessorsConnectionIsRetriedWithADelay) {
    asio::io_context io;
    const std::filesystem::path folder = Program::make_folder();
    HandoverSocket handover_socket(io, folder.string(), "x");
    bool connected = false;
    handover_socket.listen([&](std::shared_ptr<HandoverChannel>) { connected = true; });
    const FailingCalls failing(SocketCall::accept,
                               {EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE, EMFILE});
    const auto successor = HandoverSocket(io, folder.string(), "x").connect_to_predecessor();
    ASSERT_NE(successor, nullptr);
    const auto until = std::chrono::steady_clock::now() + 30ms;
    ASSERT_TRUE(run_until(io, [&] { return std::chrono::steady_clock::now() >= until; }));
    EXPECT_GT(failing.remaining(), 4u);
    ASSERT_TRUE(run_until(io, [&] { return connected; }));
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gateway::server::test

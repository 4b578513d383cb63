// A graceful shutdown: requests in flight are answered, and idle connections are closed.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

// Returns a handler that writes the header and the first half of a response with this body.
Server::Handler writes_half_of(const std::string& body) {
    return [body](Server::Peer& peer) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                  body.substr(0, body.size() / 2));
    };
}

TEST_F(GatewayTest, AShutdownAnswersRequestsInFlight) {
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    Client idle(io, address()), busy(io, address());
    busy.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
    bool done = false;
    gateway().drain([&] { done = true; });
    ASSERT_TRUE(run_until(io, [&] { return idle.closed(); }));
    // Clients still connect for a while after the signal.
    Client fresh(io, address());
    fresh.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(answered(fresh));
    EXPECT_EQ(fresh.answers()[0].result_int(), 503u);
    EXPECT_FALSE(done);
    host.peers[0]->ok("to the end");
    ASSERT_TRUE(answered(busy));
    EXPECT_EQ(busy.answers()[0].body(), "to the end");
    EXPECT_FALSE(busy.answers()[0].keep_alive());
    EXPECT_TRUE(run_until(io, [&] { return done; }));
}

// A request on a connection that the kernel has accepted must be served, even if the event loop has not
// accepted the connection yet when the listener is about to close.
TEST_F(GatewayTest, AShutdownServesConnectionsInTheBacklog) {
    std::vector<ClientRequest> received;
    SocketBudget socket_budget(40);
    ClientServer server(
        io, any_port(), socket_budget, 1 << 20,
        {[&](ClientRequest&& r) { received.push_back(std::move(r)); }, [](auto) {}, [] { return true; }});
    server.accept_requests();
    server.drain();
    Client first(io, server.local_endpoint()), second(io, server.local_endpoint());
    first.send(request("a"));
    second.send(request("b"));
    EXPECT_TRUE(server.accept_backlog());
    EXPECT_FALSE(server.accept_backlog());
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 2; }));
    EXPECT_FALSE(server.is_idle());
    for (const ClientRequest& r : received) server.answer(r.id, make_answer(http::status::ok, "last"));
    ASSERT_TRUE(answered(first) && answered(second));
    EXPECT_TRUE(server.is_idle());
}

// The shutdown checks for unanswered requests between two iterations of the event loop. At that time, a
// request may still be in the kernel's buffer only.
TEST_F(GatewayTest, AnUnreadRequestInTheKernelDelaysTheShutdown) {
    SocketBudget socket_budget(40);
    ClientServer server(
        io, any_port(), socket_budget, 1 << 20,
        {[&](ClientRequest&& r) { server.answer(r.id, make_answer(http::status::ok, "last")); }, [](auto) {},
         [] { return true; }});
    server.accept_requests();
    Client client(io, server.local_endpoint());
    ASSERT_TRUE(run_until(io, [&] { return socket_budget.in_use(SocketBudget::Side::client) == 1; }));
    server.drain();
    EXPECT_TRUE(server.is_idle());
    client.send(request("a"));
    EXPECT_FALSE(server.is_idle());
    ASSERT_TRUE(answered(client));
    EXPECT_TRUE(server.is_idle());
}

// Guards against a reset: a request could arrive between the check that a connection is idle and its close,
// and closing with unread bytes reset the connection. The test forces this with bytes that arrive right after
// the gateway has shut down its sending side.
TEST_F(GatewayTest, AnIdleConnectionClosesWithoutAResetWhenARequestArrives) {
    SocketBudget socket_budget(40);
    int received = 0;
    ClientServer server(io, any_port(), socket_budget, 1 << 20,
                        {[&](ClientRequest&& arrived) {
                             ++received;
                             server.answer(arrived.id, make_answer(http::status::ok, "last"));
                         },
                         [](auto) {}, [] { return true; }});
    server.accept_requests();
    tcp::socket client(io);
    client.connect(server.local_endpoint());
    asio::write(client, asio::buffer(request("a")));
    ASSERT_TRUE(run_until(io, [&] { return received == 1; }));
    // The client has not read the answer yet.
    server.drain();
    asio::write(client, asio::buffer(request("b")));
    io.poll();
    error_code reset, end;
    asio::write(client, asio::buffer(request("c")), reset);
    EXPECT_FALSE(reset) << reset.message();
    std::string response;
    asio::read(client, asio::dynamic_buffer(response), end);
    EXPECT_EQ(end, asio::error::eof);
    EXPECT_NE(response.find("last"), std::string::npos);
    client.close();
    ASSERT_TRUE(run_until(io, [&] { return socket_budget.in_use(SocketBudget::Side::client) == 0; }));
    EXPECT_EQ(received, 1) << "a request after the shutdown of the connection was served";
}

// SIGKILL may follow SIGTERM after 3.7 s, even if the deadline of a request is later.
TEST_F(GatewayTest, RequestsInFlightAreAnsweredBeforeSigkill) {
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a", "", "read"));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
    const auto started_at = std::chrono::steady_clock::now();
    bool done = false;
    gateway().drain([&] { done = true; });
    ASSERT_TRUE(run_until(io, [&] { return done; }));
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 3700ms);
    ASSERT_TRUE(answered(client));
    EXPECT_NE(client.answers()[0].result_int(), 200u);
}

// Regression: the gateway ended 3.55 s after SIGTERM although SIGKILL had not come, and thereby cut off a
// long response that the host was still sending.
TEST_F(GatewayTest, AResponseThatIsBeingStreamedMayBeCompletedAfterTheLatestEnd) {
    deadline_ms = 100;
    const std::string piece(100'000, 'x');
    on_request = writes_half_of(piece + piece);
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return client.received().size() > piece.size(); }));
    bool done = false;
    gateway().drain([&] { done = true; });
    constexpr auto latest_end = 700ms + 100ms - 150ms;
    EXPECT_TRUE(time_passes(latest_end + 200ms));
    EXPECT_FALSE(done);
    EXPECT_FALSE(client.closed());
    host.peers[0]->send(piece);
    ASSERT_TRUE(answered(client));
    EXPECT_EQ(client.answers()[0].body(), piece + piece);
    EXPECT_TRUE(run_until(io, [&] { return done; }));
}

// Regression: while a response was being completed after the latest end, the listener stayed open and
// requests were handled as usual, although another process may listen on the address by then.
TEST_F(GatewayTest, NoConnectionIsAcceptedAndNoRequestForwardedAfterTheLatestEnd) {
    deadline_ms = 100;
    const std::string piece(100'000, 'x');
    on_request = writes_half_of(piece + piece);
    ASSERT_TRUE(becomes_ready());
    const tcp::endpoint listen = address();
    Client streaming(io, listen);
    streaming.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return streaming.received().size() > piece.size(); }));
    bool done = false;
    gateway().drain([&] { done = true; });
    // This connection is open at the latest end, because its request is incomplete.
    Client late(io, listen);
    const std::string text = request("b");
    late.send(text.substr(0, text.size() - 2));
    constexpr auto latest_end = 700ms + 100ms - 150ms;
    EXPECT_TRUE(time_passes(latest_end + 100ms));
    tcp::socket refused(io);
    error_code ec;
    refused.connect(listen, ec);
    EXPECT_EQ(ec, asio::error::connection_refused);
    late.send(text.substr(text.size() - 2));
    ASSERT_TRUE(answered(late));
    EXPECT_EQ(late.answers()[0].result_int(), 503u);
    EXPECT_EQ(host.requests.size(), 1u);
    host.peers[0]->send(piece);
    ASSERT_TRUE(answered(streaming));
    EXPECT_EQ(streaming.answers()[0].body(), piece + piece);
    EXPECT_TRUE(run_until(io, [&] { return done; }));
}

// A predecessor may hand over connections to a process that has closed its listener.
TEST_F(GatewayTest, AConnectionIsAdoptedAfterTheListenerIsClosed) {
    SocketBudget socket_budget(40);
    ClientServer server(
        io, any_port(), socket_budget, 1 << 20,
        {[&](ClientRequest&& r) { server.answer(r.id, make_answer(http::status::ok, "last")); }, [](auto) {},
         [] { return true; }});
    server.accept_requests();
    server.stop_listening();
    tcp::acceptor predecessor(io, any_port());
    Client client(io, predecessor.local_endpoint());
    tcp::socket handed_over = predecessor.accept();
    EXPECT_NO_THROW(server.adopt(Descriptor(handed_over.release()), {}, true));
    client.send(request("a"));
    ASSERT_TRUE(answered(client));
}

TEST_F(GatewayTest, AnIncompleteRequestDoesNotDelayAShutdown) {
    deadline_ms = 100;
    ASSERT_TRUE(becomes_ready());
    Client incomplete(io, address());
    incomplete.send("GET / HTTP/1.1\r\n");
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 1; }));
    bool done = false;
    gateway().drain([&] { done = true; });
    EXPECT_TRUE(run_until(io, [&] { return done; }));
    EXPECT_FALSE(incomplete.closed());
}

}  // namespace
}  // namespace gateway::server::test

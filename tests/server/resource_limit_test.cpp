// Tests of the limits on descriptors, memory and time for clients' connections.
#include <algorithm>

#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

TEST_F(GatewayTest, ConnectionsWithoutACompleteRequestInTimeAreClosed) {
    ASSERT_TRUE(becomes_ready());
    Client served(io, address()), silent(io, address()), incomplete(io, address());
    served.send(request("a"));
    ASSERT_TRUE(answered(served));
    incomplete.send("GET / HTTP/1.1\r\n");
    ASSERT_TRUE(run_until(io, [&] { return silent.closed() && incomplete.closed(); }));
    EXPECT_EQ(incomplete.answers().at(0).result_int(), 408u);
    EXPECT_FALSE(served.closed());
}

TEST_F(GatewayTest, AtTheSocketLimitConnectionsWithoutARequestAreEvictedFirst) {
    sockets = 60;  // at most 36 for clients
    ASSERT_TRUE(becomes_ready());
    std::vector<Client> served_clients, silent_clients;
    for (std::size_t i = 0; i < 5; ++i) {
        served_clients.emplace_back(io, address());
        served_clients.back().send(request(std::string("r").append(std::to_string(i))));
        ASSERT_TRUE(answered(served_clients.back()));
    }
    for (int i = 0; i < 31; ++i) silent_clients.emplace_back(io, address());
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 36; }));
    // Waits until the time in which a first request is expected has passed.
    asio::steady_timer pause(io, 100ms);
    bool pause_ended = false;
    pause.async_wait([&](error_code) { pause_ended = true; });
    ASSERT_TRUE(run_until(io, [&] { return pause_ended; }));
    Client new_client(io, address());
    new_client.send(request("late"));
    ASSERT_TRUE(answered(new_client));
    ASSERT_TRUE(run_until(io, [&] { return silent_clients[0].closed(); }));
    for (const Client& client : served_clients) EXPECT_FALSE(client.closed());
}

// Clients that send one request and keep the connection open must not exhaust the descriptors that other
// clients need to connect.
TEST_F(GatewayTest, KeepAliveConnectionsUseOnlyAShareOfTheDescriptors) {
    sockets = 60;  // at most ten for idle keep-alive connections, fewer than clients may hold in total
    ASSERT_TRUE(becomes_ready());
    std::vector<Client> keep_alive_clients;
    for (std::size_t i = 0; i < 20; ++i) {
        keep_alive_clients.emplace_back(io, address());
        keep_alive_clients.back().send(request(std::string("r").append(std::to_string(i))));
        ASSERT_TRUE(answered(keep_alive_clients.back()));
    }
    EXPECT_LE(budget->in_use(SocketBudget::Side::client), 12u);
    EXPECT_FALSE(keep_alive_clients.back().closed());
}

TEST_F(GatewayTest, BodiesBeyondTheMemoryLimitAreRejected) {
    std::vector<ClientRequest> received;
    SocketBudget socket_budget(40);
    ClientServer server(
        io, any_port(), socket_budget, 60000,
        {[&](ClientRequest&& r) { received.push_back(std::move(r)); }, [](auto) {}, [] { return true; }});
    server.accept_requests();
    const std::string text =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" + std::string(40000, 'x');
    Client first(io, server.local_endpoint());
    first.send(text);
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 1; }));
    Client second(io, server.local_endpoint());
    second.send(text);
    ASSERT_TRUE(answered(second));
    EXPECT_EQ(second.answers()[0].result_int(), 503u);
    received.clear();  // releases the memory of the first request
    Client third(io, server.local_endpoint());
    third.send(text);
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 1; }));
}

TEST_F(GatewayTest, AtTheSocketLimitAnIdleClientIsEvictedForANewOne) {
    sockets = 10;  // at most six for clients
    ASSERT_TRUE(becomes_ready());
    std::vector<Client> idle;
    for (int i = 0; i < 6; ++i) idle.emplace_back(io, address());
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 6; }));
    Client new_client(io, address());
    new_client.send(request("a"));
    ASSERT_TRUE(answered(new_client));
    EXPECT_EQ(new_client.answers()[0].result_int(), 200u);
    EXPECT_TRUE(run_until(io, [&] { return idle[0].closed(); }));
}

TEST_F(GatewayTest, WithAllSocketsBusyANewClientWaitsUntilOneIsFree) {
    sockets = 10;
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    std::vector<Client> busy_clients;
    for (int i = 0; i < 6; ++i) {
        busy_clients.emplace_back(io, address());
        busy_clients.back().send("GET / HTTP/1.1\r\n");  // an incomplete request
    }
    ASSERT_TRUE(run_until(io, [&] { return budget->in_use(SocketBudget::Side::client) == 6; }));
    Client new_client(io, address());
    new_client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    busy_clients[3].close();
    ASSERT_TRUE(answered(new_client));
    EXPECT_EQ(new_client.answers()[0].result_int(), 200u);
}

// Regression: a process that started slowly took 30 ms from listening to its first accept. The time of a
// request that had arrived meanwhile started only at the accept, so its answer was late by that time.
TEST(ClientServer, TheTimeOfARequestIncludesTheWaitForTheFirstAccept) {
    asio::io_context io;
    SocketBudget budget(10);
    std::vector<ClientRequest> received;
    ClientServer server(io, any_port(), budget, 1024 * 1024,
                        {[&](ClientRequest&& r) { received.push_back(std::move(r)); }, [](std::uint64_t) {},
                         [] { return true; }});
    server.accept_requests();
    const auto sent_at = Steady::now();
    Client client(io, server.local_endpoint());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 1; }));
    EXPECT_LE(received[0].arrived, sent_at);
    Client later(io, server.local_endpoint());
    const auto second_sent_at = Steady::now();
    later.send(request("b"));
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 2; }));
    EXPECT_GE(received[1].arrived, second_sent_at);
}

TEST(ClientServer, TheTimeOfARequestIncludesTheWaitForAFreeSocket) {
    asio::io_context io;
    SocketBudget budget(10);  // at most six for clients
    std::vector<ClientRequest> received;
    ClientServer server(io, any_port(), budget, 1024 * 1024,
                        {[&](ClientRequest&& r) { received.push_back(std::move(r)); }, [](std::uint64_t) {},
                         [] { return true; }});
    server.accept_requests();
    std::vector<Client> busy_clients;
    for (int i = 0; i < 6; ++i) {
        busy_clients.emplace_back(io, server.local_endpoint());
        busy_clients.back().send(request("busy" + std::to_string(i)));
    }
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 6; }));
    Client new_client(io, server.local_endpoint());
    new_client.send(request("late"));
    while (io.poll() > 0) {  // until the server has found that the socket limit is reached
    }
    const auto waiting_since = Steady::now();
    busy_clients[3].close();
    ASSERT_TRUE(run_until(io, [&] { return received.size() == 7; }));
    EXPECT_LE(received.back().arrived, waiting_since);
}

// A client server with slots for at most six clients, whose requests the tests answer by hand.
struct SocketLimitTest : ::testing::Test {
    static constexpr std::size_t max_clients = 6;
    asio::io_context io;
    SocketBudget budget{10};
    std::vector<ClientRequest> received;
    ClientServer server{io,
                        any_port(),
                        budget,
                        1024 * 1024,
                        {[this](ClientRequest&& r) { received.push_back(std::move(r)); },
                         [](std::uint64_t) {}, [] { return true; }}};
    std::vector<Client> clients;

    void SetUp() override {
        server.accept_requests();
        for (std::size_t i = 0; i < max_clients; ++i) {
            clients.emplace_back(io, server.local_endpoint());
            clients.back().send(request("busy" + std::to_string(i)));
        }
        ASSERT_TRUE(receives(max_clients));
    }
    bool receives(std::size_t count) {
        return run_until(io, [&] { return received.size() >= count; });
    }
    // Runs the handlers of everything that has arrived.
    void run_handlers() {
        while (io.poll() > 0) {
        }
    }
    void answer_all() {
        for (const ClientRequest& r : received) server.answer(r.id, make_answer(http::status::ok));
    }
};

// Regression: a connection that found no slot waited until another one was closed, although answered ones had
// become idle and could have been closed for it. Its request was then late, or its client had gone.
TEST_F(SocketLimitTest, AConnectionThatBecomesIdleIsEvictedForAWaitingOne) {
    Client waiting(io, server.local_endpoint());
    waiting.send(request("waiting"));
    run_handlers();
    ASSERT_EQ(received.size(), max_clients);
    const auto answered_at = Steady::now();
    answer_all();
    ASSERT_TRUE(receives(max_clients + 1));
    EXPECT_LT(Steady::now() - answered_at, 5s);  // less than the idle timeout
}

// Regression: clients that stopped in the middle of a second request kept all slots until their timeout.
TEST_F(SocketLimitTest, AStalledConnectionIsEvictedForAWaitingOne) {
    answer_all();
    ASSERT_TRUE(run_until(io, [&] { return clients.back().answers().size() == 1; }));
    for (Client& client : clients) client.send("GET / HTTP/1.1\r\n");
    run_handlers();
    Client waiting(io, server.local_endpoint());
    waiting.send(request("waiting"));
    ASSERT_TRUE(receives(max_clients + 1));
    const auto timed_out = [](const Client& client) { return client.answers().size() > 1; };
    EXPECT_EQ(std::count_if(clients.begin(), clients.end(), timed_out), 0);
}

// Regression: a request was sent on more than a second after its client had closed the connection, which had
// waited for a slot meanwhile.
TEST_F(SocketLimitTest, ARequestWhoseClientHasLeftBeforeTheAcceptIsNotPassedOn) {
    for (const char* excess : {"", "excess"}) {
        Client leaving(io, server.local_endpoint());
        leaving.send(request("leaving") + excess);
        run_handlers();
        leaving.close();
    }
    answer_all();
    Client last(io, server.local_endpoint());
    last.send(request("last"));
    ASSERT_TRUE(receives(max_clients + 1));
    EXPECT_EQ(received.back().message["X-Trace-Id"], "last");
}

}  // namespace
}  // namespace gateway::server::test

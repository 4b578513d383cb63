// Tests of the timeout check when the handling of one connection changes others.
#include "client_connection_set.h"

#include "client_server.h"
#include "loopback.h"

namespace gateway::server::test {
namespace {

// A client server whose requests the tests answer by hand.
struct ClientConnectionSetTest : ::testing::Test {
    asio::io_context io;
    SocketBudget budget{5};  // at most three for each side
    std::vector<SocketBudget::Slot> host_slots;
    std::vector<ClientRequest> received;
    std::function<void(const ClientRequest&)> on_request = [](const auto&) {};
    std::function<void(std::uint64_t id)> on_disconnected = [](std::uint64_t) {};
    ClientServer server{io, any_port(), budget, 1024 * 1024, callbacks()};

    void SetUp() override { server.accept_requests(); }
    ClientServer::Callbacks callbacks() {
        return {[this](ClientRequest&& request) {
                    on_request(request);
                    received.push_back(std::move(request));
                },
                [this](std::uint64_t id) { on_disconnected(id); }, [] { return true; }};
    }
    static std::string request(const std::string& target, const std::string& fields = {}) {
        return "GET /" + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
    }
    bool receives(std::size_t count) {
        return run_until(io, [&] { return received.size() >= count; });
    }
    // Takes a slot for a connection to a host, as the host pool does before it connects.
    bool open_host_socket() {
        auto slot = budget.acquire(SocketBudget::Side::host);
        if (slot) host_slots.push_back(std::move(*slot));
        return slot.has_value();
    }
};

// Regression: the gateway crashed when the timeout check ended a pause, and the request that had waited for
// it evicted the next connection of the list for a connection to a host.
TEST_F(ClientConnectionSetTest, TheRequestAfterAPauseMayEvictTheNextConnection) {
    Client busy(io, server.local_endpoint());
    busy.send(request("busy"));
    ASSERT_TRUE(receives(1));
    Client paused(io, server.local_endpoint());
    paused.send(request("rejected") + request("forwarded"));
    ASSERT_TRUE(receives(2));
    Client next(io, server.local_endpoint());
    next.send(request("rejected"));
    ASSERT_TRUE(receives(3));
    while (budget.in_use(SocketBudget::Side::client) + host_slots.size() < budget.limit())
        ASSERT_TRUE(open_host_socket());
    bool evicted = false;
    on_request = [&](const ClientRequest&) { evicted = open_host_socket(); };

    server.reject(received[1].id, make_answer(http::status::forbidden));
    server.reject(received[2].id, make_answer(http::status::forbidden));
    ASSERT_TRUE(receives(4));

    EXPECT_EQ(received[3].message.target(), "/forwarded");
    EXPECT_TRUE(evicted);
    EXPECT_TRUE(run_until(io, [&] { return next.closed(); }));
    EXPECT_EQ(budget.in_use(SocketBudget::Side::client), 2u);
    server.answer(received[0].id, make_answer(http::status::ok));
    server.answer(received[3].id, make_answer(http::status::ok));
    EXPECT_TRUE(run_until(io, [&] { return busy.answers().size() == 1 && paused.answers().size() == 2; }));
}

// Regression: the gateway crashed when the timeout check closed a connection, and the consequences answered
// the request of the next connection, which thereby moved to the other list.
TEST_F(ClientConnectionSetTest, AClosedConnectionMayMoveTheNextToTheOtherList) {
    tcp::socket never_reads(io);
    never_reads.connect(server.local_endpoint());
    asio::write(never_reads, asio::buffer(request("streamed")));
    ASSERT_TRUE(receives(1));
    Client next(io, server.local_endpoint());
    next.send(request("next", "Connection: close\r\n"));
    ASSERT_TRUE(receives(2));
    std::vector<std::uint64_t> disconnected;
    on_disconnected = [&](std::uint64_t id) {
        disconnected.push_back(id);
        server.answer(received[1].id, make_answer(http::status::ok));
    };

    // More than the buffers of both sockets hold, so that the write times out.
    constexpr std::size_t unreadable_bytes = std::size_t{32} << 20;
    server.begin_response(received[0].id, make_answer(http::status::ok, std::string(unreadable_bytes, 'x')));
    ASSERT_TRUE(run_until(io, [&] { return !disconnected.empty(); }));

    EXPECT_EQ(disconnected, std::vector<std::uint64_t>{received[0].id});
    EXPECT_TRUE(run_until(io, [&] { return next.answers().size() == 1 && next.closed(); }));
    EXPECT_TRUE(run_until(io, [&] { return budget.in_use(SocketBudget::Side::client) == 0; }));
}

}  // namespace
}  // namespace gateway::server::test

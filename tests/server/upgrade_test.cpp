// Upgrades: a second process starts with the addresses of a serving one and takes over from it.
#include "program.h"

namespace gateway::server::test {
namespace {

struct UpgradeTest : ::testing::Test {
    asio::io_context io;
    std::filesystem::path handover_folder = Program::make_folder();
    Server host{io, [this](auto& peer) { on_request(peer, "h"); }};
    Server other{io, [this](auto& peer) { on_request(peer, "g"); }};
    std::function<void(Server::Peer&, const std::string&)> on_request = [](auto& peer, const auto& name) {
        peer.ok(name);
    };
    bool discovery_is_silent = false;
    Server discovery{
        io, [this](auto& peer) {
            if (discovery_is_silent || peer.request.target().find("from=") != std::string::npos) return;
            const auto row = [](const std::string& uid, const Server& server) {
                return R"({"uid":")" + uid + R"(","endpoint":")" + server.address() +
                       R"(","az":"a","model":"m","state":"ready","capacity_hint":1,"boot_ms":0})";
            };
            peer.ok(R"({"rev":1,"all":true,"targets":[)" + row("h", host) + "," + row("g", other) + "]}");
        }};
    const std::uint16_t listen = free_port(), peers = free_port(), first_admin = free_port(),
                        next_admin = free_port();

    void TearDown() override { std::filesystem::remove_all(handover_folder); }
    static std::uint16_t free_port() {
        asio::io_context unused;
        return tcp::acceptor(unused, any_port()).local_endpoint().port();
    }
    static tcp::endpoint loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }
    std::string config(std::uint16_t admin) const {
        const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        return R"({"name":"n0","listen":)" + address(listen) + R"(,"mgmt":)" + address(admin) +
               R"(,"peer_listen":)" + address(peers) + R"(,"peers":[)" + address(peers) +
               R"(],"discovery":")" + discovery.address() +
               R"(","settings":{"rank":0,"instances":1,"locality":"a","tickUs":4000,)"
               R"("tiersOfService":[{"name":"basic","rate":0.01,"mostAtOnce":20,"worthFactor":1},)"
               R"({"name":"wide","rate":10000,"mostAtOnce":10000,"worthFactor":1}],)"
               R"("familyInfo":{"unitsTop":2,"mailPerS":40},)"
               R"("requestClasses":[{"name":"read","effect":"retryable","deadlineUs":5000000,"value":1},)"
               R"({"name":"book","effect":"fragile","deadlineUs":5000000,"value":1}],)"
               R"("ceilings":{"maxAttempts":1,"peers":true,"retryAfter":true},)"
               R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})";
    }
    unsigned admin_call(std::uint16_t admin, const std::string& text) {
        asio::io_context probe_io;
        tcp::socket socket(probe_io);
        error_code ec;
        socket.connect(loopback(admin), ec);
        if (ec) return 0;
        socket.close();
        Client client(io, loopback(admin));
        client.send(text);
        EXPECT_TRUE(run_until(io, [&] { return client.closed(); }));
        return client.answers().empty() ? 0u : client.answers()[0].result_int();
    }
    bool becomes_ready(std::uint16_t admin) {
        const auto give_up = std::chrono::steady_clock::now() + 20s;
        while (admin_call(admin, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n") != 200) {
            if (std::chrono::steady_clock::now() > give_up) return false;
            io.restart();
            io.run_for(20ms);
        }
        return true;
    }
    static std::string post(const std::string& path, const std::string& body = {}) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static std::string request(const std::string& id, const std::string& plan = "wide") {
        return "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
               "\r\nX-Qos: read\r\nX-Contract: " + plan + "\r\nX-Client-Id: 00000000b4d6552" +
               (plan == "wide" ? "1" : "2") + "\r\nX-Expires-In-Ms: 4000\r\n" +
               "X-Metering: units=1,spread=1,first=0\r\n\r\n";
    }
    // Sends a request and returns the status of the next response; 0: the connection has ended without one.
    unsigned status_of(Client& client, const std::string& text) {
        const std::size_t before = client.answers().size();
        client.send(text);
        EXPECT_TRUE(run_until(io, [&] { return client.answers().size() > before || client.closed(); }));
        return client.answers().size() > before ? client.answers()[before].result_int() : 0;
    }
};

TEST_F(UpgradeTest, KeepAliveConnectionsMoveToTheSuccessor) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    Client idle(io, loopback(listen)), busy(io, loopback(listen)), half_sent(io, loopback(listen));
    ASSERT_EQ(status_of(idle, request("a")), 200u);
    // During the upgrade, one request is in flight and another is partly sent.
    std::shared_ptr<Server::Peer> in_flight;
    on_request = [&](auto& peer, const auto&) { in_flight = peer.shared_from_this(); };
    busy.send(request("b"));
    ASSERT_TRUE(run_until(io, [&] { return in_flight != nullptr; }));
    on_request = [](auto& peer, const auto& name) { peer.ok(name); };
    const std::string text = request("c");
    half_sent.send(text.substr(0, 40));
    Program next(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    first.signal(SIGTERM);
    EXPECT_EQ(status_of(idle, request("d")), 200u);
    half_sent.send(text.substr(40));
    EXPECT_TRUE(run_until(io, [&] { return half_sent.answers().size() == 1 || half_sent.closed(); }));
    EXPECT_EQ(half_sent.answers().size(), 1u);
    in_flight->ok("late");
    ASSERT_TRUE(run_until(io, [&] { return busy.answers().size() == 1 || busy.closed(); }));
    ASSERT_EQ(busy.answers().size(), 1u);
    EXPECT_EQ(busy.answers()[0].result_int(), 200u);
    ASSERT_TRUE(run_until(io, [&] { return first.ended(); }));
    EXPECT_EQ(first.exit_status(), 0);
    EXPECT_EQ(status_of(idle, request("e")), 200u);
    EXPECT_EQ(status_of(busy, request("f")), 200u);
    Client fresh(io, loopback(listen));
    EXPECT_EQ(status_of(fresh, request("g")), 200u);
}

// The successor requests the handover and ends at once. The predecessor is stopped meanwhile, so that it
// always finds the request and the end of the successor's connection together.
TEST_F(UpgradeTest, UndeliveredConnectionsAreServedByThePredecessorIfTheSuccessorEnds) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    Client idle(io, loopback(listen)), half_sent(io, loopback(listen));
    ASSERT_EQ(status_of(idle, request("a")), 200u);
    const std::string text = request("b");
    first.signal(SIGSTOP);
    half_sent.send(text.substr(0, 40));
    {
        const std::filesystem::path socket_path =
            std::filesystem::directory_iterator(handover_folder)->path();
        using Channel = asio::generic::seq_packet_protocol;
        Channel::socket next(io, Channel(AF_UNIX, 0));
        next.connect(asio::local::stream_protocol::endpoint(socket_path.string()));
        next.send(asio::buffer(std::string("hspartrack 1")), 0);
        next.send(asio::buffer(std::string("t")), 0);
    }
    first.signal(SIGCONT);
    EXPECT_EQ(status_of(idle, request("c")), 200u);
    half_sent.send(text.substr(40));
    ASSERT_TRUE(run_until(io, [&] { return half_sent.answers().size() == 1 || half_sent.closed(); }));
    EXPECT_EQ(half_sent.answers().size(), 1u);
    Client fresh(io, loopback(listen));
    EXPECT_EQ(status_of(fresh, request("d")), 200u);
}

// Regression: a request that is not idempotent was executed again if its client left and sent it to the other
// process of an upgrade, before or after the former process had ended it.
TEST_F(UpgradeTest, ARequestIsNotExecutedAgainByTheSuccessor) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    const auto post = [](const std::string& id) {
        std::string text = request(id);
        text.replace(text.find("X-Qos: read"), 11, "X-Qos: book");
        return text.replace(0, 3, "POST").insert(text.find("\r\n"), "\r\nContent-Length: 0");
    };
    Client served(io, loopback(listen)), leaving(io, loopback(listen));
    ASSERT_EQ(status_of(served, post("a")), 200u);
    on_request = [](auto&, const auto&) {};
    leaving.send(post("b"));
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() + other.requests.size() == 2; }));
    Program next(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    leaving.close();
    on_request = [](auto& peer, const auto& name) { peer.ok(name); };
    Client fresh(io, loopback(listen));
    EXPECT_EQ(status_of(fresh, post("a")), 409u);
    EXPECT_EQ(status_of(fresh, post("b")), 409u);
    EXPECT_EQ(status_of(fresh, post("c")), 200u);
    EXPECT_EQ(host.requests.size() + other.requests.size(), 3u);
}

TEST_F(UpgradeTest, QuotaUsedBeforeTheUpgradeStaysUsed) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    Client client(io, loopback(listen));
    int served = 0;
    int sent = 0;
    while (sent < 100 && status_of(client, request("a" + std::to_string(sent++), "basic")) == 200) ++served;
    EXPECT_GT(served, 0);
    EXPECT_LT(sent, 100);
    Program next(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    EXPECT_EQ(status_of(client, request("b", "basic")), 429u);
    EXPECT_EQ(status_of(client, request("c")), 200u);
}

TEST_F(UpgradeTest, BansAndStandbySurviveTheUpgrade) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    ASSERT_EQ(admin_call(first_admin, post("/maintenance/enter", "h")), 200u);
    ASSERT_EQ(admin_call(first_admin, post("/standby")), 200u);
    Program next(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    for (int i = 0; i < 10; ++i) {
        Client client(io, loopback(listen));
        EXPECT_EQ(status_of(client, request("a" + std::to_string(i))), 200u);
        EXPECT_FALSE(client.answers().at(0).keep_alive());
    }
    EXPECT_EQ(host.requests.size(), 0u);
    // Calls to the predecessor's admin server take effect in the successor.
    EXPECT_EQ(admin_call(first_admin, post("/active")), 200u);
    EXPECT_EQ(admin_call(first_admin, post("/maintenance/exit", "h")), 200u);
    EXPECT_EQ(admin_call(first_admin, post("/maintenance/enter", "g")), 200u);
    first.signal(SIGTERM);
    ASSERT_TRUE(run_until(io, [&] { return first.ended(); }));
    Client client(io, loopback(listen));
    EXPECT_EQ(status_of(client, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"), 200u);
    const std::size_t before = other.requests.size();
    for (int i = 0; i < 300 && host.requests.empty(); ++i) {
        status_of(client, request("b" + std::to_string(i)));
        io.run_for(10ms);
    }
    EXPECT_GT(host.requests.size(), 0u);
    EXPECT_EQ(other.requests.size(), before);
}

TEST_F(UpgradeTest, ThePredecessorServesAgainIfTheSuccessorEnds) {
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    {
        Program next(config(next_admin), handover_folder);
        ASSERT_TRUE(becomes_ready(next_admin));
        next.signal(SIGKILL);
        ASSERT_TRUE(run_until(io, [&] { return next.ended(); }));
    }
    Client client(io, loopback(listen));
    EXPECT_EQ(status_of(client, request("a")), 200u);
    Program third(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    EXPECT_EQ(status_of(client, request("b")), 200u);
}

// Regression (review/8): a process that took over while discovery was silent used the list of its
// configuration, and sent to hosts that its predecessor knew to be gone.
TEST_F(UpgradeTest, WhileDiscoveryIsSilentTheSuccessorUsesTheListOfItsPredecessor) {
    Server gone(io, [](auto& peer) { peer.ok("gone"); });
    const std::string known = R"("known":{"rev":0,"all":true,"targets":[{"uid":"x","endpoint":")" +
                              gone.address() +
                              R"(","az":"a","model":"m","state":"ready","capacity_hint":1,"boot_ms":0}]},)";
    const auto with_known_list = [&](std::string text) { return text.insert(1, known); };
    Program first(with_known_list(config(first_admin)), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    discovery_is_silent = true;
    Program next(with_known_list(config(next_admin)), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    first.signal(SIGTERM);
    ASSERT_TRUE(run_until(io, [&] { return first.ended(); }));
    for (int i = 0; i < 5; ++i) {
        Client client(io, loopback(listen));
        EXPECT_EQ(status_of(client, request("a" + std::to_string(i))), 200u);
    }
    EXPECT_TRUE(gone.requests.empty());
}

// Regression (review/10): a process whose successor had handed over in its turn and ended took that for a
// failed upgrade. It served again and took over the name by which the next process looks for its predecessor.
TEST_F(UpgradeTest, ABanSurvivesAnUpgradeAfterTwoUpgradesInARow) {
    const std::uint16_t third_admin = free_port(), fourth_admin = free_port();
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    // A long response keeps the first process alive until both upgrades are over.
    const std::string piece(100'000, 'x');
    std::shared_ptr<Server::Peer> long_response;
    on_request = [&](auto& peer, const auto&) {
        long_response = peer.shared_from_this();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * piece.size()) + "\r\n\r\n" +
                  piece);
    };
    Client client(io, loopback(listen));
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return client.received().size() > piece.size(); }));
    on_request = [](auto& peer, const auto& name) { peer.ok(name); };
    Program second(config(next_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(next_admin));
    first.signal(SIGTERM);
    Program third(config(third_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(third_admin));
    second.signal(SIGTERM);
    ASSERT_TRUE(run_until(io, [&] { return second.ended(); }));
    io.restart();
    io.run_for(100ms);
    ASSERT_FALSE(first.ended());
    long_response->send(piece);
    ASSERT_TRUE(run_until(io, [&] { return client.answers().size() == 1 && first.ended(); }));
    EXPECT_EQ(client.answers()[0].body().size(), 2 * piece.size());
    for (const char* const uid : {"h", "g"})
        ASSERT_EQ(admin_call(third_admin, post("/maintenance/enter", uid)), 200u);
    Program fourth(config(fourth_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(fourth_admin));
    third.signal(SIGTERM);
    ASSERT_TRUE(run_until(io, [&] { return third.ended(); }));
    host.requests.clear();
    other.requests.clear();
    Client next(io, loopback(listen));
    EXPECT_NE(status_of(next, request("b")), 200u);
    EXPECT_TRUE(host.requests.empty() && other.requests.empty()) << "the bans were lost";
}

TEST_F(UpgradeTest, APredecessorThatHasEndedOrDoesNotRespondIsSkipped) {
    {
        Program dead(config(first_admin), handover_folder);
        ASSERT_TRUE(becomes_ready(first_admin));
        dead.signal(SIGKILL);
        ASSERT_TRUE(run_until(io, [&] { return dead.ended(); }));
    }
    Program first(config(first_admin), handover_folder);
    ASSERT_TRUE(becomes_ready(first_admin));
    first.signal(SIGSTOP);
    const auto before = std::chrono::steady_clock::now();
    Program next(config(next_admin), handover_folder);
    EXPECT_TRUE(becomes_ready(next_admin));
    EXPECT_LT(std::chrono::steady_clock::now() - before, 6s);
    first.signal(SIGKILL);
    ASSERT_TRUE(run_until(io, [&] { return first.ended(); }));
    Client client(io, loopback(listen));
    EXPECT_EQ(status_of(client, request("a")), 200u);
}

}  // namespace
}  // namespace gateway::server::test

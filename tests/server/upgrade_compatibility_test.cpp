// Tests of the handover between a process of this version and one of the former version, commit 77e24d2. The
// test plays the process of the former version and compares messages with the recorded messages of that
// version; see tests/fixtures/README.md.
#include <sstream>

#include "../fixtures/fixtures.h"
#include "program.h"

namespace gateway::server::test {
namespace {

using HandoverProtocol = asio::generic::seq_packet_protocol;
using HandoverSocket = HandoverProtocol::socket;
using HandoverAcceptor = asio::basic_socket_acceptor<HandoverProtocol>;

// Each message begins with the byte that identifies its kind.
const std::string greeting = "hspartrack 1";
const std::string takeover_request = "t";
constexpr char idle_host_connection = 'o';
constexpr std::string_view socket_name_prefix = "spartrack-";
constexpr std::size_t max_handover_message = 64 * 1024 + 1;

// The lines of handover-77e24d2.txt. The strings of kinds consist of the first bytes of the messages after
// the greeting, in order.
struct RecordedHandover {
    std::string greeting;
    std::string kinds_in_service;
    std::string kinds_on_standby;
};
RecordedHandover recorded_handover() {
    std::istringstream lines(gateway::test::read_fixture("handover-77e24d2.txt"));
    RecordedHandover recorded;
    std::getline(lines, recorded.greeting);
    std::getline(lines, recorded.kinds_in_service);
    std::getline(lines, recorded.kinds_on_standby);
    return recorded;
}

struct UpgradeCompatibility : ::testing::Test {
    asio::io_context io;
    const std::filesystem::path handover_folder = Program::make_folder();
    Server first_host{io, [](Server::Peer& peer) { peer.ok("first"); }};
    Server second_host{io, [](Server::Peer& peer) { peer.ok("second"); }};
    Server discovery{io, [this](Server::Peer& peer) { answer_discovery(peer); }};
    const std::uint16_t listen_port = free_port();
    const std::uint16_t peers_port = free_port();
    const std::uint16_t admin_port = free_port();

    void TearDown() override { std::filesystem::remove_all(handover_folder); }

    static std::uint16_t free_port() {
        asio::io_context unused;
        return tcp::acceptor(unused, any_port()).local_endpoint().port();
    }
    static tcp::endpoint endpoint(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

    // Sends the complete endpoint list. A call that waits for a change of the list gets no response.
    void answer_discovery(Server::Peer& peer) const {
        if (peer.request.target().find("from=") != std::string::npos) return;
        const auto row = [](const std::string& uid, const Server& host) {
            return R"({"uid":")" + uid + R"(","endpoint":")" + host.address() +
                   R"(","az":"a","model":"m","state":"ready","capacity_hint":1,"boot_ms":0})";
        };
        peer.ok(R"({"rev":1,"all":true,"targets":[)" + row("first", first_host) + "," +
                row("second", second_host) + "]}");
    }

    std::string config() const {
        const auto quoted = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        return R"({"name":"n0","listen":)" + quoted(listen_port) + R"(,"mgmt":)" + quoted(admin_port) +
               R"(,"peer_listen":)" + quoted(peers_port) + R"(,"peers":[)" + quoted(peers_port) +
               R"(],"discovery":")" + discovery.address() +
               R"(","settings":{"rank":0,"instances":1,"locality":"a","tickUs":4000,)"
               R"("tiersOfService":[{"name":"wide","rate":10000,"mostAtOnce":10000,"worthFactor":1}],)"
               R"("familyInfo":{"unitsTop":2,"mailPerS":40},)"
               R"("requestClasses":[{"name":"read","effect":"retryable","deadlineUs":5000000,"value":1}],)"
               R"("ceilings":{"maxAttempts":1,"peers":true,"retryAfter":true},)"
               R"("guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})";
    }

    // Calls the admin server and returns the status of the response; 0: there was none.
    unsigned call_admin(const std::string& request) {
        asio::io_context unused;
        tcp::socket attempt(unused);
        error_code refused;
        attempt.connect(endpoint(admin_port), refused);
        if (refused) return 0;
        attempt.close();
        Client client(io, endpoint(admin_port));
        client.send(request);
        EXPECT_TRUE(run_until(io, [&] { return client.closed(); }));
        return client.answers().empty() ? 0u : client.answers()[0].result_int();
    }
    unsigned post_admin(const std::string& path, const std::string& body = {}) {
        return call_admin("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool serves() {
        const auto give_up = std::chrono::steady_clock::now() + 20s;
        while (call_admin("GET /status HTTP/1.1\r\nHost: x\r\n\r\n") != 200) {
            if (std::chrono::steady_clock::now() > give_up) return false;
            io.restart();
            io.run_for(20ms);
        }
        return true;
    }
    unsigned request_on(Client& client) {
        client.send(
            "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: a\r\nX-Qos: read\r\nX-Contract: wide\r\n"
            "X-Client-Id: 00000000b4d65521\r\nX-Expires-In-Ms: 4000\r\n"
            "X-Metering: units=1,spread=1,first=0\r\n\r\n");
        EXPECT_TRUE(run_until(io, [&] { return !client.answers().empty() || client.closed(); }));
        return client.answers().empty() ? 0u : client.answers()[0].result_int();
    }

    // Returns the path of the socket on which a serving process listens for its successor.
    std::filesystem::path handover_socket_path() const {
        const auto found = std::filesystem::directory_iterator(handover_folder);
        return found == std::filesystem::directory_iterator() ? std::filesystem::path() : found->path();
    }
    static asio::local::stream_protocol::endpoint address_of(const std::filesystem::path& path) {
        return {path.string()};
    }

    // Returns the next message; empty if the other side has ended or sends none in time.
    std::string receive(HandoverSocket& socket) {
        std::string message(max_handover_message, '\0');
        std::optional<std::size_t> received;
        asio::socket_base::message_flags flags = 0;
        socket.async_receive(asio::buffer(message), flags,
                             [&](error_code failed, std::size_t size) { received = failed ? 0 : size; });
        if (!run_until(io, [&] { return received.has_value(); })) {
            socket.close();
            io.restart();
            io.poll();
            return {};
        }
        message.resize(*received);
        return message;
    }

    // Plays the successor process of the former version. Returns the kinds of the messages up to the idle
    // connection to the host, which comes last.
    std::string take_over_as_former_version() {
        const std::filesystem::path path = handover_socket_path();
        EXPECT_EQ(path.filename().string().substr(0, socket_name_prefix.size()), socket_name_prefix);
        HandoverSocket successor(io, HandoverProtocol(AF_UNIX, 0));
        successor.connect(address_of(path));
        successor.send(asio::buffer(greeting), 0);
        EXPECT_EQ(receive(successor), recorded_handover().greeting);
        successor.send(asio::buffer(takeover_request), 0);
        std::string kinds;
        std::string message;
        while (kinds.find(idle_host_connection) == std::string::npos) {
            message = receive(successor);
            if (message.empty()) return kinds;
            kinds += message[0];
        }
        EXPECT_EQ(message.substr(message.find(' ')), " second");
        return kinds;
    }
};

TEST_F(UpgradeCompatibility, AServingProcessSendsTheSameMessagesAsTheFormerVersion) {
    Program predecessor(config(), handover_folder);
    ASSERT_TRUE(serves());
    ASSERT_EQ(post_admin("/maintenance/enter", "first"), 200u);
    Client client(io, endpoint(listen_port));
    ASSERT_EQ(request_on(client), 200u);
    EXPECT_EQ(take_over_as_former_version(), recorded_handover().kinds_in_service);
}

TEST_F(UpgradeCompatibility, AProcessOnStandbySendsTheSameMessagesAsTheFormerVersion) {
    Program predecessor(config(), handover_folder);
    ASSERT_TRUE(serves());
    ASSERT_EQ(post_admin("/maintenance/enter", "first"), 200u);
    Client client(io, endpoint(listen_port));
    ASSERT_EQ(request_on(client), 200u);
    ASSERT_EQ(post_admin("/standby"), 200u);
    EXPECT_EQ(take_over_as_former_version(), recorded_handover().kinds_on_standby);
}

TEST_F(UpgradeCompatibility, TheSuccessorGreetsTheFormerVersionAndRequestsTheHandover) {
    // The path at which the processes of this gateway look for their predecessor's socket.
    std::filesystem::path path;
    {
        Program earlier(config(), handover_folder);
        ASSERT_TRUE(serves());
        path = handover_socket_path();
        earlier.signal(SIGKILL);
        ASSERT_TRUE(run_until(io, [&] { return earlier.ended(); }));
    }
    EXPECT_EQ(path.filename().string().substr(0, socket_name_prefix.size()), socket_name_prefix);
    std::filesystem::remove(path);
    HandoverAcceptor former(io, HandoverProtocol(AF_UNIX, 0));
    former.bind(address_of(path));
    former.listen();
    Program next(config(), handover_folder);
    HandoverSocket accepted_socket(io);
    bool accepted = false;
    former.async_accept(accepted_socket, [&](error_code failed) { accepted = !failed; });
    ASSERT_TRUE(run_until(io, [&] { return accepted; }));
    EXPECT_EQ(receive(accepted_socket), recorded_handover().greeting);
    accepted_socket.send(asio::buffer(greeting), 0);
    EXPECT_EQ(receive(accepted_socket), takeover_request);
}

}  // namespace
}  // namespace gateway::server::test

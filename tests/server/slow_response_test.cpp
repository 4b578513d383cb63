// Responses that their hosts write slowly, forwarded by the program on real connections.
#include "gateway_fixture.h"
#include "program.h"

namespace gateway::server::test {
namespace {

enum class Framing { chunked, until_close };

// How a host writes a response: pieces of `piece_bytes`, each `pause` after the one before. Writes the rest
// only as far as `bytes_until_hang`, and then neither continues nor closes.
struct Rhythm {
    std::size_t piece_bytes;
    std::chrono::milliseconds pause;
    std::size_t bytes_until_hang = static_cast<std::size_t>(-1);
};
constexpr Rhythm steady{4000, 40ms};
constexpr Rhythm in_lumps{60000, 700ms};

// Writes a response without a Content-Length to a peer, piece by piece.
class SlowWriter : public std::enable_shared_from_this<SlowWriter> {
  public:
    SlowWriter(std::shared_ptr<Server::Peer> peer, std::string body, Framing framing, Rhythm rhythm)
        : peer_(std::move(peer)),
          body_(std::move(body)),
          framing_(framing),
          rhythm_(rhythm),
          pause_(peer_->socket.get_executor()) {}
    void start() {
        send(framing_ == Framing::chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        write_next();
    }

  private:
    void send(const std::string& text) {
        error_code ignored;
        asio::write(peer_->socket, asio::buffer(text), ignored);
    }
    void write_next() {
        if (written_ >= rhythm_.bytes_until_hang) return;
        const std::string piece = body_.substr(written_, rhythm_.piece_bytes);
        written_ += piece.size();
        send(framing_ == Framing::chunked ? as_chunk(piece) : piece);
        if (written_ == body_.size()) return finish();
        pause_.expires_after(rhythm_.pause);
        pause_.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) self->write_next();
        });
    }
    void finish() {
        if (framing_ == Framing::chunked) send("0\r\n\r\n");
        else peer_->close();
    }
    std::shared_ptr<Server::Peer> peer_;
    const std::string body_;
    const Framing framing_;
    const Rhythm rhythm_;
    std::size_t written_ = 0;
    asio::steady_timer pause_;
};

Server::Handler writes_slowly(const std::string& body, Framing framing, Rhythm rhythm) {
    return [=](Server::Peer& peer) {
        std::make_shared<SlowWriter>(peer.shared_from_this(), body, framing, rhythm)->start();
    };
}

// The program with one host, whose responses `on_request` writes.
struct SlowResponseProgramTest : ::testing::Test {
    asio::io_context io;
    Server::Handler on_request;
    Server host{io, [this](auto& peer) { on_request(peer); }};
    Server discovery{io, [this](auto& peer) {
                         if (peer.request.target().find("from=") == std::string::npos)
                             peer.ok(complete_list(1, endpoint_entry("h", host.address())));
                     }};
    std::optional<Program> program;

    // Starts the program and returns its address once it serves.
    tcp::endpoint start() {
        const tcp::endpoint listen = tcp::acceptor(io, any_port()).local_endpoint();
        program.emplace(
            R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen.port()) + R"(","discovery":")" +
            discovery.address() +
            R"(","settings":{"rank":0,"instances":1,"locality":"a","tickUs":2000,"tiersOfService":)"
            R"([{"name":"basic","rate":1000,"mostAtOnce":1000,"worthFactor":1}],"familyInfo":{"unitsTop":2},)"
            R"("requestClasses":[{"name":"read","effect":"retryable","deadlineUs":600000,"value":1},)"
            R"({"name":"book","effect":"fragile","deadlineUs":2000000,"value":1}],"ceilings":{"maxAttempts":4,)"
            R"("cancel":true},"guarantees":{"startCapacity":0.2,"coldUs":1000000,"fallUs":1000000}}})");
        EXPECT_TRUE(run_until(io, [&] { return is_healthy(listen); }));
        return listen;
    }
    bool is_healthy(const tcp::endpoint& listen) {
        tcp::socket socket(io);
        error_code ec;
        if (socket.connect(listen, ec)) return false;
        Client client(io, listen);
        client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto give_up_at = std::chrono::steady_clock::now() + 200ms;
        (void)run_until(
            io, [&] { return !client.answers().empty() || std::chrono::steady_clock::now() > give_up_at; });
        return !client.answers().empty() && client.answers()[0].result_int() == 200;
    }
};

// Returns the text of a request with the method that its class demands.
std::string request_of_class(const std::string& request_class, std::chrono::milliseconds expires_in) {
    const std::string text = request("a", "", request_class, expires_in);
    return request_class == "read" ? text : "POST" + text.substr(std::string_view("GET").size());
}

TEST_F(SlowResponseProgramTest, ALongResponseWithoutALengthIsNotCutOffAtTheDeadline) {
    const std::string body = body_of(100'000);
    for (const Framing framing : {Framing::chunked, Framing::until_close})
        for (const Rhythm rhythm : {steady, in_lumps})
            for (const char* const request_class : {"read", "book"}) {
                SCOPED_TRACE(std::string(request_class) + (framing == Framing::chunked ? ", chunked" : "") +
                             (rhythm.pause == steady.pause ? ", steady" : ""));
                on_request = writes_slowly(body, framing, rhythm);
                Client client(io, start());
                client.send(request_of_class(request_class, 370ms));
                EXPECT_TRUE(run_until(io, [&] { return !client.answers().empty() || client.closed(); }));
                ASSERT_EQ(client.answers().size(), 1u);
                EXPECT_EQ(client.answers()[0].result_int(), 200u);
                EXPECT_TRUE(client.answers()[0].body() == body);
            }
}

// A gateway with one host that writes its responses slowly, in the test process.
struct SlowResponseTest : GatewayTest {
    Client send(std::chrono::milliseconds expires_in) {
        Client client(io, address());
        client.send(request("a", "", "read", expires_in));
        return client;
    }
};

// SIGKILL may come before the deadline of the request, so the response has to start before the latest end.
TEST_F(SlowResponseTest, AShutdownDoesNotCutOffAResponseThatHasBegunToArriveBeforeTheLatestEnd) {
    const std::string body = body_of(100'000);
    on_request = [](auto&) {};
    ASSERT_TRUE(becomes_ready());
    const Client client = send(15000ms);
    ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1; }));
    bool done = false;
    gateway().drain([&] { done = true; });
    constexpr auto latest_end = 700ms + 3000ms - 150ms;
    EXPECT_TRUE(time_passes(latest_end - 500ms));
    writes_slowly(body, Framing::chunked, {4000, 60ms})(*host.peers[0]);
    ASSERT_TRUE(run_until(io, [&] { return !client.answers().empty() || client.closed(); }));
    ASSERT_EQ(client.answers().size(), 1u);
    EXPECT_TRUE(client.answers()[0].body() == body);
    EXPECT_TRUE(run_until(io, [&] { return done; }));
}

TEST_F(SlowResponseTest, AHostThatHangsInAShortResponseWithoutALengthIsGivenUpSoonAfterTheStart) {
    on_request = writes_slowly(body_of(30'000), Framing::chunked, {1000, 10ms, 5000});
    ASSERT_TRUE(becomes_ready());
    const Client client = send(300ms);
    ASSERT_TRUE(run_until(io, [&] { return !client.received().empty(); }));
    const auto started_at = std::chrono::steady_clock::now();
    ASSERT_TRUE(run_until(io, [&] { return client.closed(); }));
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, 5s);
    EXPECT_TRUE(client.answers().empty()) << "the client cannot tell that the response is incomplete";
}

// The last byte of a short response counts. Whether a response without a length is short is known only at its
// end: one that has been started in time must neither be cut off if it is long nor end late if it is short.
TEST_F(SlowResponseTest, AShortResponseWithoutALengthEndsWithinHalfASecondAfterTheDeadline) {
    constexpr auto deadline = 370ms, lost_after = 500ms, socket_slack = 50ms;
    on_request = writes_slowly(body_of(30'000), Framing::chunked, {1000, 50ms});
    ASSERT_TRUE(becomes_ready());
    const auto sent_at = std::chrono::steady_clock::now();
    const Client client = send(deadline);
    ASSERT_TRUE(run_until(io, [&] { return !client.answers().empty() || client.closed(); }));
    EXPECT_LE(std::chrono::steady_clock::now() - sent_at, deadline + lost_after + socket_slack);
}

TEST_F(SlowResponseTest, APauseInALongResponseIsWaitedFor) {
    const std::string body = body_of(130'000);
    on_request = writes_slowly(body, Framing::until_close, {65'000, 1800ms});
    ASSERT_TRUE(becomes_ready());
    const Client client = send(300ms);
    ASSERT_TRUE(run_until(io, [&] { return !client.answers().empty() || client.closed(); }));
    ASSERT_EQ(client.answers().size(), 1u);
    EXPECT_TRUE(client.answers()[0].body() == body);
}

TEST_F(SlowResponseTest, AShortResponseWithALengthStillEndsAtTheDeadline) {
    on_request = [](auto& peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\nfirst part"); };
    ASSERT_TRUE(becomes_ready());
    const Client client = send(300ms);
    ASSERT_TRUE(answered(client));
    EXPECT_NE(client.answers()[0].result_int(), 200u);
}

TEST_F(SlowResponseTest, AClientThatLeavesDuringTheResponseEndsTheAttempt) {
    on_request = writes_slowly(body_of(200'000), Framing::chunked, {4000, 40ms});
    ASSERT_TRUE(becomes_ready());
    Client client = send(300ms);
    ASSERT_TRUE(run_until(io, [&] { return !client.received().empty(); }));
    client.close();
    EXPECT_TRUE(run_until(io, [&] {
        error_code ec;
        host.peers[0]->socket.available(ec);
        return host.peers[0]->closed || ec;
    }));
}

}  // namespace
}  // namespace gateway::server::test

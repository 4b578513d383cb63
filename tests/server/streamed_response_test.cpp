// Responses that are streamed to the client because of their size.
#include "gateway_fixture.h"

namespace gateway::server::test {
namespace {

struct StreamedResponseTest : GatewayTest {
    // Writes asynchronously, because the gateway reads on the same event loop, which a blocking write would
    // stop.
    static void write_all(Server::Peer& peer, std::shared_ptr<std::string> text, bool then_close = false) {
        asio::async_write(peer.socket, asio::buffer(*text),
                          [text, peer = peer.shared_from_this(), then_close](error_code, std::size_t) {
                              if (then_close) peer->close();
                          });
    }
};

TEST_F(StreamedResponseTest, IsForwardedUnchangedInEveryTransferCoding) {
    const std::string body = body_of(3000000);
    std::string chunked;
    for (std::size_t offset = 0; offset < body.size(); offset += 70001)
        chunked += as_chunk(std::string_view(body).substr(offset, 70001));
    const auto with_length =
        std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + body);
    const auto with_chunks = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\nX-Sum: 1\r\n\r\n");
    const auto until_close = std::make_shared<std::string>("HTTP/1.1 200 OK\r\n\r\n" + body);
    ASSERT_TRUE(becomes_ready());
    Client client(io, address());
    std::size_t n = 0;
    for (const auto& text : {with_length, with_chunks, until_close, with_length}) {
        on_request = [&](auto& peer) { write_all(peer, text, text == until_close); };
        client.send(request("a" + std::to_string(n)));
        ASSERT_TRUE(run_until(
            io, [&] { return client.received().size() > body.size() * (n + 1) && answered(client, n + 1); }));
        EXPECT_EQ(client.answers()[n].result_int(), 200u);
        EXPECT_TRUE(client.answers()[n].body() == body);
        ++n;
    }
    EXPECT_FALSE(client.closed());
}

TEST_F(StreamedResponseTest, WaitsForASlowClient) {
    ASSERT_TRUE(becomes_ready());
    const std::string body = body_of(30000000);
    const auto text =
        std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + body);
    std::size_t written_bytes = 0;
    on_request = [&](auto& peer) {
        asio::async_write(
            peer.socket, asio::buffer(*text),
            [&written_bytes, text](error_code, std::size_t n) -> std::size_t {
                written_bytes = n;
                return 65536;
            },
            [peer = peer.shared_from_this()](error_code, std::size_t) {});
    };
    tcp::socket slow(io);
    slow.connect(address());
    asio::write(slow, asio::buffer(request("a")));
    const auto resume_at = std::chrono::steady_clock::now() + 500ms;
    EXPECT_TRUE(run_until(io, [&] { return std::chrono::steady_clock::now() > resume_at; }));
    // The host could write only as much as the kernel's buffers hold, plus a little in the gateway.
    EXPECT_LT(written_bytes, 20000000u);
    std::size_t received_bytes = 0;
    std::vector<char> chunk(65536);
    std::function<void()> read = [&] {
        slow.async_read_some(asio::buffer(chunk), [&](error_code ec, std::size_t n) {
            received_bytes += n;
            if (!ec) read();
        });
    };
    read();
    EXPECT_TRUE(run_until(io, [&] { return received_bytes > body.size(); }));
    slow.close();
}

TEST_F(StreamedResponseTest, AnIncompleteResponseClosesTheConnectionAndTheGatewayServesOthers) {
    ASSERT_TRUE(becomes_ready());
    on_request = [](auto& peer) {
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  as_chunk(std::string(100000, 'x')));
        peer.close();
    };
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return client.closed(); }));
    EXPECT_TRUE(client.answers().empty());
    on_request = [](auto& peer) { peer.ok("served"); };
    Client other(io, address());
    other.send(request("b"));
    ASSERT_TRUE(answered(other));
    EXPECT_EQ(other.answers()[0].body(), "served");
}

// Regression: only a response that failed at its host was ended by a reset. A client of HTTP/1.0 took any
// other close, for example at the end of the process, for the end of the response.
TEST_F(StreamedResponseTest, AClientOfHttp10CanTellThatTheEndOfTheProcessCutItsResponseOff) {
    ASSERT_TRUE(becomes_ready());
    on_request = [](auto& peer) {
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(100000, 'x'));
    };
    tcp::socket client(io);
    client.connect(address());
    std::string text = request("a");
    text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    asio::write(client, asio::buffer(text));
    std::string received(100000, '\0');
    error_code ec;
    client.non_blocking(true);
    std::size_t size = 0;
    ASSERT_TRUE(run_until(io, [&] {
        size += client.read_some(asio::buffer(received), ec);
        return size > 100000;
    }));
    runtime.reset();
    client.non_blocking(false);
    asio::read(client, asio::dynamic_buffer(received), ec);
    EXPECT_EQ(ec, asio::error::connection_reset);
}

TEST_F(StreamedResponseTest, ADisconnectOfTheClientEndsTheAttempt) {
    ASSERT_TRUE(becomes_ready());
    const auto text = std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" +
                                                    std::string(30000000, 'x'));
    bool ended = false;
    on_request = [&](auto& peer) {
        asio::async_write(
            peer.socket, asio::buffer(*text),
            [&, peer = peer.shared_from_this()](error_code ec, std::size_t) { ended = ec.failed(); });
    };
    Client client(io, address());
    client.send(request("a"));
    ASSERT_TRUE(run_until(io, [&] { return client.received().size() > 100000; }));
    client.close();
    EXPECT_TRUE(run_until(io, [&] { return ended; }));
}

}  // namespace
}  // namespace gateway::server::test

// Tests of the framing of responses to clients.
#include "client_response_encoder.h"

#include <gtest/gtest.h>

#include <string>

namespace gateway::server::test {
namespace {

constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;

struct ClientResponseEncoderTest : ::testing::Test {
    ClientResponseEncoder encoder;
    std::string out;

    bool contains(const std::string& text) const { return out.find(text) != std::string::npos; }
};

TEST_F(ClientResponseEncoderTest, ACompleteResponseHasAContentLength) {
    encoder.set_request(http_1_1, false);
    encoder.encode(make_answer(http::status::ok, "body"), true, out);
    EXPECT_EQ(out, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_F(ClientResponseEncoderTest, AResponseBeforeTheCloseHasConnectionClose) {
    encoder.set_request(http_1_1, false);
    encoder.encode(make_answer(http::status::ok), false, out);
    EXPECT_TRUE(contains("Connection: close\r\n"));
}

TEST_F(ClientResponseEncoderTest, AResponseToHeadHasTheContentLengthOfTheHostAndNoBody) {
    encoder.set_request(http_1_1, true);
    Answer answer = make_answer(http::status::ok);
    answer.set(http::field::content_length, "7");
    encoder.encode(std::move(answer), true, out);
    EXPECT_EQ(out, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
}

TEST_F(ClientResponseEncoderTest, AStreamWithoutAContentLengthIsChunked) {
    encoder.set_request(http_1_1, false);
    EXPECT_TRUE(encoder.begin_stream(make_answer(http::status::ok, "ab"), true, out));
    EXPECT_EQ(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    EXPECT_EQ(encoder.encode_piece("c", false), "1\r\nc\r\n");
    EXPECT_EQ(encoder.encode_piece("", true), "0\r\n\r\n");
}

TEST_F(ClientResponseEncoderTest, AStreamWithAContentLengthIsNotChunked) {
    encoder.set_request(http_1_1, false);
    Answer first = make_answer(http::status::ok, "ab");
    first.content_length(3);
    EXPECT_TRUE(encoder.begin_stream(std::move(first), true, out));
    EXPECT_EQ(out, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
    EXPECT_EQ(encoder.encode_piece("c", true), "c");
}

TEST_F(ClientResponseEncoderTest, AnHttp10StreamWithoutAContentLengthEndsWithTheClose) {
    encoder.set_request(http_1_0, false);
    EXPECT_FALSE(encoder.begin_stream(make_answer(http::status::ok, "ab"), true, out));
    EXPECT_FALSE(contains("Transfer-Encoding"));
    EXPECT_EQ(encoder.encode_piece("c", true), "c");
}

}  // namespace
}  // namespace gateway::server::test

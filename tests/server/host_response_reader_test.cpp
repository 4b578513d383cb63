// Tests of the parser for hosts' responses, without a socket.
#include "host_response_reader.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>

namespace gateway::server::test {
namespace {
using Progress = HostResponseReader::Progress;
using ExpectedBody = HostResponseReader::ExpectedBody;

// Adds the bytes to the reader's buffer, as a read from a socket does.
void add_bytes(HostResponseReader& reader, std::string_view bytes) {
    const bool streaming = false;
    reader.commit(
        boost::asio::buffer_copy(reader.prepare(streaming), boost::asio::buffer(bytes.data(), bytes.size())));
}

// Parses the bytes as the next response, to a request with a method other than HEAD.
Progress parse(HostResponseReader& reader, std::string_view bytes) {
    reader.start(ExpectedBody::streamable);
    add_bytes(reader, bytes);
    return reader.parse();
}

TEST(HostResponseReader, ParsesAResponseThatArrivesInParts) {
    HostResponseReader reader;
    EXPECT_EQ(parse(reader, "HTTP/1.1 200 OK\r\nContent-Le"), Progress::incomplete);
    EXPECT_FALSE(reader.header_complete());
    add_bytes(reader, "ngth: 4\r\n\r\nbo");
    EXPECT_EQ(reader.parse(), Progress::incomplete);
    EXPECT_TRUE(reader.header_complete());
    add_bytes(reader, "dy");
    EXPECT_EQ(reader.parse(), Progress::complete);
    EXPECT_EQ(reader.release().body(), "body");
    EXPECT_EQ(reader.buffered_bytes(), 0u);
}

TEST(HostResponseReader, LeavesSurplusBytesInTheBuffer) {
    HostResponseReader reader;
    EXPECT_EQ(parse(reader, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nasurplus"), Progress::complete);
    EXPECT_EQ(reader.buffered_bytes(), std::string_view("surplus").size());
}

TEST(HostResponseReader, SkipsInterimResponsesUpToTheLimit) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::string responses;
    for (int count = 0; count < 8; ++count) responses += interim;
    const std::string final_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    HostResponseReader reader;
    EXPECT_EQ(parse(reader, responses + final_response), Progress::complete);
    HostResponseReader second;
    EXPECT_EQ(parse(second, responses + interim + final_response), Progress::malformed);
}

TEST(HostResponseReader, RejectsAProtocolSwitchAndAmbiguousLengths) {
    for (const char* response :
         {"HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
          "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "SSH-2.0\r\n\r\n"}) {
        HostResponseReader reader;
        EXPECT_EQ(parse(reader, response), Progress::malformed) << response;
    }
}

TEST(HostResponseReader, LimitsTheNumberOfHeaderFields) {
    const auto response = [](std::size_t field_count) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (std::size_t i = 1; i < field_count; ++i) text += "a:b\r\n";
        return text + "Content-Length: 0\r\n\r\n";
    };
    HostResponseReader at_limit;
    EXPECT_EQ(parse(at_limit, response(max_header_fields)), Progress::complete);
    HostResponseReader beyond_limit;
    EXPECT_EQ(parse(beyond_limit, response(max_header_fields + 1)), Progress::malformed);
}

TEST(HostResponseReader, AResponseToAHeadRequestHasNoBody) {
    HostResponseReader reader;
    reader.start(ExpectedBody::none);
    add_bytes(reader, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
    EXPECT_EQ(reader.parse(), Progress::complete);
}

TEST(HostResponseReader, OnlyAResponseWithoutALengthIsCompleteAtTheEndOfTheStream) {
    HostResponseReader without_length;
    EXPECT_EQ(parse(without_length, "HTTP/1.1 200 OK\r\n\r\nall"), Progress::incomplete);
    EXPECT_TRUE(without_length.finish_at_end_of_stream());
    EXPECT_EQ(without_length.release().body(), "all");
    HostResponseReader with_length;
    EXPECT_EQ(parse(with_length, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), Progress::incomplete);
    EXPECT_FALSE(with_length.finish_at_end_of_stream());
}

TEST(HostResponseReader, AContentLengthAboveTheLimitNeedsStreaming) {
    const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: ";
    HostResponseReader at_limit;
    EXPECT_EQ(parse(at_limit, header + std::to_string(max_buffered_body_bytes) + "\r\n\r\n"),
              Progress::incomplete);
    EXPECT_FALSE(at_limit.needs_streaming());
    HostResponseReader beyond_limit;
    EXPECT_EQ(parse(beyond_limit, header + std::to_string(max_buffered_body_bytes + 1) + "\r\n\r\n"),
              Progress::incomplete);
    EXPECT_TRUE(beyond_limit.needs_streaming());
}

// Regression: the body of an error response, which nobody uses, was held in memory up to 32 MiB for each
// attempt. A response that never ended took the process over its memory limit.
TEST(HostResponseReader, TheBodyOfAnErrorResponseIsDiscardedUpToTheLimit) {
    HostResponseReader reader;
    EXPECT_EQ(parse(reader, "HTTP/1.1 500 X\r\n\r\n"), Progress::incomplete);
    const std::string piece(4096, 'e');
    for (std::size_t bytes = piece.size(); bytes <= max_buffered_body_bytes; bytes += piece.size()) {
        add_bytes(reader, piece);
        ASSERT_EQ(reader.parse(), Progress::incomplete);
        EXPECT_TRUE(reader.body().empty());
    }
    add_bytes(reader, piece);
    EXPECT_EQ(reader.parse(), Progress::malformed);
}

TEST(HostResponseReader, ABodyThatCannotBeStreamedIsLimited) {
    const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: ";
    HostResponseReader at_limit;
    at_limit.start(ExpectedBody::buffered);
    add_bytes(at_limit, header + std::to_string(max_buffered_body_bytes) + "\r\n\r\n");
    EXPECT_EQ(at_limit.parse(), Progress::incomplete);
    HostResponseReader beyond_limit;
    beyond_limit.start(ExpectedBody::buffered);
    add_bytes(beyond_limit, header + std::to_string(max_buffered_body_bytes + 1) + "\r\n\r\n");
    EXPECT_EQ(beyond_limit.parse(), Progress::malformed);
}

}  // namespace
}  // namespace gateway::server::test

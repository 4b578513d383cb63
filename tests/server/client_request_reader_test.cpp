// Tests of the parser for client requests, without sockets.
#include "client_request_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace gateway::server::test {
namespace {

constexpr std::size_t body_budget_bytes = 100'000;

struct ClientRequestReaderTest : ::testing::Test {
    ByteBudget budget{body_budget_bytes};
    ClientRequestReader reader{budget};

    ClientRequestReader::Progress parse(std::string_view bytes) {
        EXPECT_TRUE(reader.append(bytes));
        if (!reader.active()) reader.start();
        return reader.parse();
    }
    // Returns the status of the error that a request causes; `ok` if it causes none.
    http::status rejection(std::string_view bytes) {
        const auto progress = parse(bytes);
        reader.abort();
        reader.discard_buffered();
        return progress.error ? progress.error->status : http::status::ok;
    }
};

TEST_F(ClientRequestReaderTest, ParsesARequestThatArrivesInParts) {
    ClientRequestReader::Progress progress = parse("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n");
    EXPECT_FALSE(progress.header_completed);
    EXPECT_TRUE(reader.consumed_any());
    progress = parse("\r\nbo");
    EXPECT_TRUE(progress.header_completed);
    EXPECT_FALSE(reader.complete());
    EXPECT_FALSE(parse("dy").error);
    ASSERT_TRUE(reader.complete());
    const ClientRequestReader::Released released = reader.release();
    EXPECT_EQ(released.message.body(), "body");
    EXPECT_TRUE(released.keep_alive);
    EXPECT_FALSE(reader.active());
}

TEST_F(ClientRequestReaderTest, KeepsPipelinedDataInTheBuffer) {
    const std::string_view next = "GET /b HTTP/1.1\r\n\r\n";
    EXPECT_FALSE(parse("GET /a HTTP/1.1\r\n\r\n" + std::string(next)).error);
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.copy_of_buffered(), next);
}

TEST_F(ClientRequestReaderTest, ReleasesAChunkedBodyWithItsLengthAndWithoutHopByHopFields) {
    parse(
        "POST /api HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n0\r\n\r\n");
    ASSERT_TRUE(reader.complete());
    const ClientRequestReader::Released released = reader.release();
    EXPECT_FALSE(released.keep_alive);
    EXPECT_EQ(released.message.count(http::field::connection), 0u);
    EXPECT_EQ(released.message.count(http::field::transfer_encoding), 0u);
    EXPECT_EQ(released.message[http::field::content_length], "2");
}

TEST_F(ClientRequestReaderTest, ReportsTheStatusForEachKindOfError) {
    EXPECT_EQ(rejection("no request\r\n\r\n"), http::status::bad_request);
    EXPECT_EQ(rejection("GET / HTTP/1.1\r\nX: " + std::string(max_header_bytes, 'x')),
              http::status::request_header_fields_too_large);
    EXPECT_EQ(rejection("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), http::status::payload_too_large);
    EXPECT_EQ(rejection("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), http::status::bad_request);
    EXPECT_EQ(rejection("GET / HTTP/1.1\r\n\r\n"), http::status::ok);
}

// Regression: a header of thousands of short fields took 20 times its size in memory, so that some hundred
// clients took the process over its memory limit.
TEST_F(ClientRequestReaderTest, LimitsTheNumberOfHeaderFieldsAlsoBeforeTheHeaderIsComplete) {
    const auto fields = [](std::size_t count) {
        std::string text;
        for (std::size_t i = 0; i < count; ++i) text += "a:b\r\n";
        return text;
    };
    const auto too_large = http::status::request_header_fields_too_large;
    EXPECT_EQ(rejection("GET / HTTP/1.1\r\n" + fields(max_header_fields) + "\r\n"), http::status::ok);
    EXPECT_EQ(rejection("GET / HTTP/1.1\r\n" + fields(max_header_fields + 1) + "\r\n"), too_large);
    EXPECT_EQ(rejection("GET / HTTP/1.1\r\n" + fields(max_header_fields + 2)), too_large);
    EXPECT_EQ(rejection("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
                        fields(max_header_fields + 2) + "\r\n"),
              too_large);
}

TEST_F(ClientRequestReaderTest, ReservesTheBytesOfABodyUntilTheRequestEnds) {
    const std::string header = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
    EXPECT_FALSE(parse(header).error);
    EXPECT_EQ(budget.in_use(), 60'000u);
    ClientRequestReader second(budget);
    ASSERT_TRUE(second.append(header));
    second.start();
    const auto progress = second.parse();
    ASSERT_TRUE(progress.error);
    EXPECT_EQ(progress.error->status, http::status::service_unavailable);
    reader.abort();
    EXPECT_EQ(budget.in_use(), 0u);
}

TEST_F(ClientRequestReaderTest, ASmallBodyReservesNothing) {
    EXPECT_FALSE(parse("POST / HTTP/1.1\r\nContent-Length: 4096\r\n\r\n").error);
    EXPECT_EQ(budget.in_use(), 0u);
}

TEST_F(ClientRequestReaderTest, DetectsAClientThatExpects100Continue) {
    parse("POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 4\r\n\r\n");
    EXPECT_TRUE(reader.expects_continue());
}

}  // namespace
}  // namespace gateway::server::test

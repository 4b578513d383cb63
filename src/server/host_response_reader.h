// The parser for the responses on a connection to a host.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "http.h"

namespace gateway::server {

// Buffers the bytes of one connection and parses them as responses, one at a time. Performs no I/O: the owner
// reads into the buffer that `prepare` returns and calls `commit` with the number of bytes read.
class HostResponseReader {
  public:
    enum class Progress {
        incomplete,  // the response needs more bytes
        complete,    // the response is complete and can be released
        malformed,   // the bytes are not a response that the gateway accepts
    };

    // What the response's body is for.
    enum class ExpectedBody {
        none,        // the response to a HEAD request: it has no body, whatever its Content-Length is
        buffered,    // the body is released with the response, and may not exceed `max_buffered_body_bytes`
        streamable,  // like `buffered`, but the body of a response with status 200 may be streamed instead
    };

    HostResponseReader();

    // Starts to parse the next response. The body of a response with a status other than 200 is discarded as
    // it arrives, because nobody uses it.
    void start(ExpectedBody expected);
    // Discards the parser of the current response. Bytes that it has not parsed stay in the buffer.
    void stop() { parser_.reset(); }
    // Whether a response is awaited or being parsed.
    [[nodiscard]] bool active() const { return parser_.has_value(); }

    // Returns buffer space for one read, which is larger while a response is streamed.
    [[nodiscard]] boost::asio::mutable_buffer prepare(bool streaming);
    // Adds the first `bytes` bytes of the prepared space to the buffer.
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    // Whether the buffer has space for a further read. If it has none, the parser is waiting for the end of
    // an endless line: the header limit does not apply to lines inside a chunked body.
    [[nodiscard]] bool has_space() const;
    // The number of bytes that have not been parsed as part of a response.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }
    // Releases the buffer space of a large response.
    void shrink();

    // Parses the buffered bytes. Interim responses (1xx) are skipped, up to a limit.
    [[nodiscard]] Progress parse();
    // Handles the end of the stream. Returns whether the response is complete, which is the case for a
    // response whose header gives no length.
    [[nodiscard]] bool finish_at_end_of_stream();

    [[nodiscard]] bool header_complete() const { return parser_->is_header_done(); }
    // The header of the response. Requires that it is complete.
    [[nodiscard]] const http::response_header<>& header() const { return parser_->get().base(); }
    // The part of the body that has been parsed and not yet moved out.
    [[nodiscard]] std::string& body() { return parser_->get().body(); }
    // Whether the response has to be streamed: its body is known to exceed `max_buffered_body_bytes`, by its
    // parsed part or its Content-Length. Requires that the header is complete.
    [[nodiscard]] bool needs_streaming() const;
    // Whether the response may turn out to be long enough to be streamed: it has no Content-Length. Requires
    // that the header is complete.
    [[nodiscard]] bool may_become_long() const { return may_be_streamed() && !parser_->content_length(); }
    // Returns the response. Requires that it is complete.
    [[nodiscard]] http::response<StreamedBody> release() { return parser_->release(); }

  private:
    using Parser = http::response_parser<StreamedBody>;

    void reset_parser();
    // Whether the length of the body is unambiguous and within the limit.
    [[nodiscard]] bool has_valid_length() const;
    [[nodiscard]] bool exceeds_buffered_body() const;
    // Whether the response may be streamed, if its body is long. Requires that the header is complete.
    [[nodiscard]] bool may_be_streamed() const;
    // Returns false if a body that may not be streamed is too long. Requires that the header is complete.
    [[nodiscard]] bool limit_body();
    // Discards the parsed part of a body that nobody uses.
    void discard_unused_body();
    // Returns false if the final response can't follow: after 101, or beyond the limit of interim responses.
    [[nodiscard]] bool skip_interim();

    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    ExpectedBody expected_body_ = ExpectedBody::buffered;
    std::size_t discarded_bytes_ = 0;  // of the current response's body
    int interim_responses_ = 0;        // number of interim responses before the final response
};

}  // namespace gateway::server

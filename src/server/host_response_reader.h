// Parses the responses that arrive on a connection to a host.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "http.h"

namespace gateway::server {

// Buffers the bytes of one connection and parses them as responses, one at a time. Performs no I/O: its owner
// reads into `prepare` and reports what came with `commit`.
class HostResponseReader {
  public:
    enum class Progress {
        incomplete,  // more bytes are needed
        complete,    // the response can be released
        malformed,   // the bytes can't be the expected response
    };

    HostResponseReader();

    // Starts the next response. `without_body`: it has no body whatever its Content-Length says, because it
    // responds to a HEAD request.
    void start(bool without_body);
    // Ends the response; bytes that are still buffered stay.
    void stop() { parser_.reset(); }
    // Whether a response is expected or being parsed.
    [[nodiscard]] bool active() const { return parser_.has_value(); }

    // Space for one read. The read is larger once a response is streamed.
    [[nodiscard]] boost::asio::mutable_buffer prepare(bool streaming);
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    // Whether there is space for a further read. Without it the parser waits for the end of a line that has
    // none, because no header limit holds for lines inside a chunked body.
    [[nodiscard]] bool has_space() const;
    // Bytes that belong to no response yet.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }
    // Releases the memory that a large response needed.
    void shrink();

    // Parses what is buffered. Interim responses (1xx) are skipped, up to a limit.
    [[nodiscard]] Progress parse();
    // Handles the end of the connection. Returns whether it completes the response, as it does for one
    // without a length.
    [[nodiscard]] bool finish_at_end_of_stream();

    [[nodiscard]] bool header_complete() const { return parser_->is_header_done(); }
    // Requires that the header is complete.
    [[nodiscard]] const http::response_header<>& header() const { return parser_->get().base(); }
    // The part of the body that has been parsed and not been taken.
    [[nodiscard]] std::string& body() { return parser_->get().body(); }
    // Whether the body is longer than is held in memory, as far as is known by now.
    [[nodiscard]] bool exceeds_buffered_body();
    // Moves the response out. Requires that it is complete.
    [[nodiscard]] http::response<StreamedBody> release() { return parser_->release(); }

  private:
    using Parser = http::response_parser<StreamedBody>;

    void reset_parser();
    [[nodiscard]] bool has_safe_length() const;
    // Returns false where the final response can't be expected any more.
    [[nodiscard]] bool skip_interim();

    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    bool without_body_ = false;
    int interim_responses_ = 0;  // before the current response
};

}  // namespace gateway::server

// The parser for requests on a client connection.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "byte_budget.h"
#include "http.h"

namespace gateway::server {

// The reason why a request cannot be parsed. Nothing further can be read from its connection either.
struct UnreadableRequest {
    http::status status;
    // The body of the response, without the line break at its end.
    const char* text;
};

// Buffers the bytes of one connection and parses them as requests, one at a time. Performs no I/O: the owner
// reads into the space that `prepare` returns and reports the number of bytes read with `commit`.
class ClientRequestReader {
  public:
    // The size of one read, in bytes.
    static constexpr std::size_t read_bytes = 4096;

    // The result of one call of `parse`.
    struct Progress {
        std::optional<UnreadableRequest> error;
        std::size_t consumed_bytes = 0;
        // Whether this call completed the header.
        bool header_completed = false;
    };

    // A complete request without hop-by-hop header fields. A chunked body is replaced by one with a
    // Content-Length.
    struct Released {
        Request message;
        // Whether the client wants the connection kept alive.
        bool keep_alive = false;
    };

    // Each body reserves its bytes in `body_budget`, which must outlive the reader.
    explicit ClientRequestReader(ByteBudget& body_budget);

    // Returns the space for one read.
    [[nodiscard]] boost::asio::mutable_buffer prepare() { return buffer_.prepare(read_bytes); }
    // Reports that `bytes` bytes have been read into the space that `prepare` returned.
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    // Whether the buffer has space for a further read. It runs out if a line inside a chunked body never
    // ends, because the header limit does not apply to such lines and the parser consumes a line only when it
    // is complete.
    [[nodiscard]] bool has_space() const { return buffer_.size() + read_bytes <= buffer_.max_size(); }
    // Appends bytes to the buffer. Returns false if they exceed the buffer's limit.
    [[nodiscard]] bool append(std::string_view bytes);
    // The number of bytes that the parser has not consumed.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }
    [[nodiscard]] std::string copy_of_buffered() const;
    void discard_buffered();
    // Frees the memory of a buffer that has grown, if it is empty.
    void shrink_if_empty();

    // Starts to parse the next request.
    void start();
    // Discards the current request and releases its reservation.
    void abort();
    // Whether a request has been started and neither released nor aborted.
    [[nodiscard]] bool active() const { return parser_.has_value(); }
    // Whether the parser has consumed any byte of the request; if so, another process cannot take over the
    // connection.
    [[nodiscard]] bool consumed_any() const { return consumed_any_; }

    // Parses the buffered bytes of the current request.
    [[nodiscard]] Progress parse();
    [[nodiscard]] bool header_complete() const { return parser_->is_header_done(); }
    [[nodiscard]] bool complete() const { return parser_->is_done(); }
    // Whether the client waits for a 100 Continue response before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    // Moves the request out of the reader. Requires that the request is complete.
    [[nodiscard]] Released release();
    // Releases the reservation for the body of the current or the latest request.
    void release_body_reservation() { body_reservation_.release(); }
    // Moves out the reservation for the body of the released request.
    [[nodiscard]] ByteBudget::Reservation take_body_reservation() { return std::move(body_reservation_); }

  private:
    using Parser = http::request_parser<http::string_body>;

    [[nodiscard]] std::optional<UnreadableRequest> check_header();
    [[nodiscard]] bool reserve_body();

    ByteBudget& body_budget_;
    boost::beast::flat_buffer buffer_;
    ByteBudget::Reservation body_reservation_;
    std::optional<Parser> parser_;
    bool consumed_any_ = false;
};

}  // namespace gateway::server

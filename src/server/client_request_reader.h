// Parses the requests that arrive on a client's connection.
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

// Why the bytes of a request cannot be read; nothing more can be read from its connection either.
struct UnreadableRequest {
    http::status status;
    const char* text;  // the body of the response, without the end of its line
};

// Buffers the bytes of one connection and parses them as requests, one at a time. Performs no I/O: its owner
// reads into `prepare` and reports what came with `commit`.
class ClientRequestReader {
  public:
    // The size of one read, in bytes.
    static constexpr std::size_t read_bytes = 4096;

    // What one call of `parse` has achieved.
    struct Progress {
        std::optional<UnreadableRequest> error;
        std::size_t consumed_bytes = 0;
        bool header_completed = false;  // by this call
    };

    // A complete request, with the length of its body in place of the chunked coding and without the
    // hop-by-hop fields.
    struct Released {
        Request message;
        bool keep_alive = false;  // whether the client wants the connection kept alive
    };

    // Bodies reserve their bytes in `body_budget`.
    explicit ClientRequestReader(ByteBudget& body_budget);

    // Space for one read.
    [[nodiscard]] boost::asio::mutable_buffer prepare() { return buffer_.prepare(read_bytes); }
    void commit(std::size_t bytes) { buffer_.commit(bytes); }
    // Whether there is space for a further read. Without it the parser waits for the end of a line that has
    // none, because no header limit holds for lines inside a chunked body.
    [[nodiscard]] bool has_space() const { return buffer_.size() + read_bytes <= buffer_.max_size(); }
    // Puts bytes behind what is buffered. Returns false where they exceed the buffer's limit.
    [[nodiscard]] bool append(std::string_view bytes);
    // The bytes that the parser has not consumed.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }
    [[nodiscard]] std::string copy_of_buffered() const;
    void discard_buffered();
    // Releases a buffer that has grown, as soon as it is empty.
    void shrink_if_empty();

    // Starts the next request.
    void start();
    // Gives up the current request and what it has reserved.
    void abort();
    // Whether a request has been started and not released or aborted.
    [[nodiscard]] bool active() const { return parser_.has_value(); }
    // Whether the parser has consumed a byte of the request, so that another process could not take it over.
    [[nodiscard]] bool consumed_any() const { return consumed_any_; }

    // Parses what is buffered of the current request.
    [[nodiscard]] Progress parse();
    [[nodiscard]] bool header_complete() const { return parser_->is_header_done(); }
    [[nodiscard]] bool complete() const { return parser_->is_done(); }
    // Whether the client waits for 100 Continue before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    // Moves the request out. Requires that it is complete.
    [[nodiscard]] Released release();
    // Gives back what the body of the current or the latest request has reserved.
    void give_back_room() { room_.release(); }
    // Moves the reservation for the body of the released request out.
    [[nodiscard]] ByteBudget::Reservation take_room() { return std::move(room_); }

  private:
    using Parser = http::request_parser<http::string_body>;

    [[nodiscard]] std::optional<UnreadableRequest> check_header();
    [[nodiscard]] bool reserve_body();

    ByteBudget& body_budget_;
    boost::beast::flat_buffer buffer_;
    ByteBudget::Reservation room_;  // for the body
    std::optional<Parser> parser_;
    bool consumed_any_ = false;
};

}  // namespace gateway::server

// The HTTP message types of the gateway, and functions on them for the connections to clients and hosts.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <string>
#include <string_view>

namespace gateway::server {
namespace http = boost::beast::http;

// Messages that hold their complete body in memory.
using Request = http::request<http::string_body>;
using Answer = http::response<http::string_body>;

// The maximum size of a message's header, in bytes.
constexpr std::size_t max_header_bytes = 16 * 1024;
// The maximum number of header fields of a message, with those of its trailer. A parsed field takes about a
// hundred bytes beside its text, so that many short fields need far more memory than `max_header_bytes`.
constexpr std::size_t max_header_fields = 128;
// A body of up to this many bytes is held in memory completely; a longer response is streamed.
constexpr std::size_t max_buffered_body_bytes = 64 * 1024;
// The maximum size of a streamed response's body, in bytes.
constexpr std::uint64_t max_streamed_body_bytes = 32ull * 1024 * 1024;

// Appends the bytes of a Beast buffer sequence to `out` and returns their number.
template <class Buffers>
std::size_t append_buffers(const Buffers& buffers, std::string& out) {
    std::size_t size = 0;
    for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        out.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
    }
    return size;
}

// A Beast body type that holds only the part of the body that has not been consumed yet, because a long body
// must never be held in memory completely. Beast's string_body would allocate as many bytes as the header
// announces.
struct StreamedBody {
    using value_type = std::string;
    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
      public:
        template <bool is_request, class Fields>
        reader(http::header<is_request, Fields>&, value_type& body) : body_(body) {}
        static void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
            ec = {};
            return append_buffers(buffers, body_);
        }
        static void finish(boost::system::error_code& ec) { ec = {}; }

      private:
        value_type& body_;
    };
};

// Encodes a piece of a body as one chunk of the chunked transfer coding. An empty piece ends the body.
[[nodiscard]] inline std::string as_chunk(std::string_view piece) {
    char size_line[20];
    std::snprintf(size_line, sizeof size_line, "%zx\r\n", piece.size());
    return std::string(size_line).append(piece).append("\r\n");
}

// Serializes the complete message into `out`. Reuses the capacity of `out`.
template <bool is_request>
void serialize(const http::message<is_request, http::string_body, http::fields>& message, std::string& out) {
    out.clear();
    http::serializer<is_request, http::string_body, http::fields> serializer(message);
    boost::system::error_code ec;
    while (!serializer.is_done() && !ec)
        serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
            serializer.consume(append_buffers(buffers, out));
        });
}

// Serializes only the message's header into `out`.
template <bool is_request>
void serialize_header(const http::message<is_request, http::empty_body, http::fields>& message,
                      std::string& out) {
    out.clear();
    http::serializer<is_request, http::empty_body, http::fields> serializer(message);
    serializer.split(true);
    boost::system::error_code ec;
    while (!serializer.is_header_done() && !ec)
        serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
            serializer.consume(append_buffers(buffers, out));
        });
}

// Whether a header that Beast has accepted determines unambiguously where its message ends (RFC 9112, section
// 6.3). Beast accepts transfer codings that do not end in chunked, as if there were no body, and
// Content-Length values that are repeated or listed. Two parsers can then disagree about the end, and the
// bytes between the two ends could be smuggled in as a separate request or response.
template <class Header>
[[nodiscard]] bool has_unambiguous_length(const Header& header) {
    const auto codings = header.equal_range(http::field::transfer_encoding);
    if (codings.first != codings.second)
        return header.version() >= 11 && std::next(codings.first) == codings.second &&
               boost::beast::iequals(codings.first->value(), "chunked");
    const auto lengths = header.equal_range(http::field::content_length);
    if (lengths.first == lengths.second) return true;
    const auto text = lengths.first->value();
    return std::next(lengths.first) == lengths.second && text.find_first_not_of("0123456789") == text.npos;
}

// Whether the Content-Length of a parsed header is within the limit. Beast's own limit does not ensure this
// in every version: for a response that announced 3 GB, it allocated all of that and continued to read.
template <class Parser>
[[nodiscard]] bool length_within_limit(const Parser& parser) {
    const auto length = parser.content_length();
    return !length || *length <= max_streamed_body_bytes;
}

template <class Fields>
[[nodiscard]] bool has_too_many_fields(const Fields& fields) {
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > max_header_fields;
}

// Removes the hop-by-hop header fields, which apply to one connection only and must not be forwarded.
template <class Fields>
void strip_connection_fields(Fields& fields) {
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
          http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
        fields.erase(name);
}

// Returns an HTTP/1.1 response from the gateway itself.
[[nodiscard]] inline Answer make_answer(http::status status, std::string text = {}) {
    Answer answer(status, 11);
    answer.body() = std::move(text);
    return answer;
}

}  // namespace gateway::server

#include "host_response_reader.h"

namespace gateway::server {
using boost::system::error_code;

namespace {
constexpr std::size_t read_bytes = 4096;
constexpr std::size_t streaming_read_bytes = 32 * 1024;
// A host that sends more interim responses (1xx) than this never comes to the final one.
constexpr int max_interim_responses = 8;
}  // namespace

HostResponseReader::HostResponseReader() : buffer_(max_buffered_body_bytes + max_header_bytes) {}

void HostResponseReader::start(bool without_body) {
    without_body_ = without_body;
    interim_responses_ = 0;
    reset_parser();
}

void HostResponseReader::reset_parser() {
    parser_.emplace();
    parser_->eager(false);  // the header is checked before space for a body is allocated
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(max_streamed_body_bytes);
    parser_->skip(without_body_);
}

boost::asio::mutable_buffer HostResponseReader::prepare(bool streaming) {
    return buffer_.prepare(streaming ? streaming_read_bytes : read_bytes);
}

bool HostResponseReader::has_space() const {
    return buffer_.size() + streaming_read_bytes <= buffer_.max_size();
}

void HostResponseReader::shrink() {
    if (buffer_.capacity() > read_bytes) buffer_.shrink_to_fit();
}

HostResponseReader::Progress HostResponseReader::parse() {
    while (buffer_.size() > 0) {
        error_code ec;
        const bool in_header = !parser_->is_header_done();
        const std::size_t used = parser_->put(buffer_.data(), ec);
        buffer_.consume(used);
        if (ec == http::error::need_more) return Progress::incomplete;
        if (ec) return Progress::malformed;
        const bool header_done = parser_->is_header_done();
        const bool interim = header_done && parser_->get().result_int() / 100 == 1;
        // With an ambiguous length nothing tells whether a body is complete, or whose the bytes behind it
        // are.
        if (in_header && header_done && !interim && !has_safe_length()) return Progress::malformed;
        parser_->eager(header_done);
        if (parser_->is_done()) {
            if (!interim) return Progress::complete;
            if (!skip_interim()) return Progress::malformed;
            continue;
        }
        if (used == 0) return Progress::incomplete;
    }
    return Progress::incomplete;
}

bool HostResponseReader::has_safe_length() const {
    return length_within_limit(*parser_) && has_unambiguous_length(parser_->get().base());
}

bool HostResponseReader::skip_interim() {
    // After 101 another protocol would follow, which the gateway never asks for.
    if (parser_->get().result() == http::status::switching_protocols) return false;
    if (++interim_responses_ > max_interim_responses) return false;
    reset_parser();
    return true;
}

bool HostResponseReader::finish_at_end_of_stream() {
    if (!parser_ || !parser_->is_header_done() || !parser_->need_eof()) return false;
    error_code ec;
    parser_->put_eof(ec);
    return !ec;
}

bool HostResponseReader::exceeds_buffered_body() {
    const auto length = parser_->content_length();
    return body().size() > max_buffered_body_bytes || (length && *length > max_buffered_body_bytes);
}

}  // namespace gateway::server

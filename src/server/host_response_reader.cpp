#include "host_response_reader.h"

namespace gateway::server {
using boost::system::error_code;

namespace {
constexpr std::size_t read_bytes = 4096;
constexpr std::size_t streaming_read_bytes = 32 * 1024;
// A response with more interim responses (1xx) than this before the final one is treated as malformed.
constexpr int max_interim_responses = 8;
}  // namespace

HostResponseReader::HostResponseReader() : buffer_(max_buffered_body_bytes + max_header_bytes) {}

void HostResponseReader::start(ExpectedBody expected) {
    expected_body_ = expected;
    interim_responses_ = 0;
    reset_parser();
}

void HostResponseReader::reset_parser() {
    parser_.emplace();
    parser_->eager(false);  // stops after the header, to check it before space for a body is allocated
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(max_streamed_body_bytes);
    parser_->skip(expected_body_ == ExpectedBody::none);
    discarded_bytes_ = 0;
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
        if (has_too_many_fields(parser_->get().base())) return Progress::malformed;
        if (ec == http::error::need_more) return Progress::incomplete;
        if (ec) return Progress::malformed;
        const bool header_done = parser_->is_header_done();
        const bool interim = header_done && parser_->get().result_int() / 100 == 1;
        // If the length is ambiguous, it is unknown whether a body is complete and to which response the
        // bytes after it belong.
        if (in_header && header_done && !interim && !has_valid_length()) return Progress::malformed;
        if (header_done && !limit_body()) return Progress::malformed;
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

bool HostResponseReader::has_valid_length() const {
    return length_within_limit(*parser_) && has_unambiguous_length(parser_->get().base());
}

bool HostResponseReader::skip_interim() {
    // Status 101 announces a switch to another protocol, which the gateway never requests.
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

bool HostResponseReader::exceeds_buffered_body() const {
    if (expected_body_ == ExpectedBody::none) return false;
    const auto length = parser_->content_length();
    return discarded_bytes_ + parser_->get().body().size() > max_buffered_body_bytes ||
           (length && *length > max_buffered_body_bytes);
}

bool HostResponseReader::may_be_streamed() const {
    return expected_body_ == ExpectedBody::streamable && parser_->get().result() == http::status::ok;
}

bool HostResponseReader::needs_streaming() const { return may_be_streamed() && exceeds_buffered_body(); }

// The memory and the time for a body that is not streamed are limited by its size alone: the body may never
// end.
bool HostResponseReader::limit_body() {
    if (may_be_streamed()) return true;
    discard_unused_body();
    return !exceeds_buffered_body();
}

void HostResponseReader::discard_unused_body() {
    if (parser_->get().result() == http::status::ok) return;
    discarded_bytes_ += body().size();
    body().clear();
}

}  // namespace gateway::server

#include "client_request_reader.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <utility>

namespace gateway::server {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {
// The buffer holds at most a header and one read; body bytes are consumed as they arrive.
constexpr std::size_t max_buffered_bytes = max_header_bytes + ClientRequestReader::read_bytes;
// A body of up to this size reserves no bytes from the budget, because it uses less memory than its
// connection does in any case.
constexpr std::size_t max_unreserved_body_bytes = 4096;

constexpr UnreadableRequest too_many_fields{http::status::request_header_fields_too_large,
                                            "too many header fields"};

std::optional<UnreadableRequest> error_of(error_code ec) {
    if (!ec || ec == http::error::need_more) return std::nullopt;
    if (ec == http::error::header_limit)
        return UnreadableRequest{http::status::request_header_fields_too_large, "header too large"};
    if (ec == http::error::body_limit)
        return UnreadableRequest{http::status::payload_too_large, "body too large"};
    return UnreadableRequest{http::status::bad_request, "malformed request"};
}
}  // namespace

ClientRequestReader::ClientRequestReader(ByteBudget& body_budget)
    : body_budget_(body_budget), buffer_(max_buffered_bytes) {}

bool ClientRequestReader::append(std::string_view bytes) {
    if (bytes.size() > buffer_.max_size()) return false;
    buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes.size()), asio::buffer(bytes)));
    return true;
}

std::string ClientRequestReader::copy_of_buffered() const {
    return boost::beast::buffers_to_string(buffer_.data());
}

void ClientRequestReader::discard_buffered() {
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
}

void ClientRequestReader::shrink_if_empty() {
    if (buffer_.size() == 0 && buffer_.capacity() > read_bytes) buffer_.shrink_to_fit();
}

void ClientRequestReader::start() {
    parser_.emplace();
    consumed_any_ = false;
    parser_->eager(true);
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(max_buffered_body_bytes);
}

void ClientRequestReader::abort() {
    parser_.reset();
    body_reservation_.release();
}

ClientRequestReader::Progress ClientRequestReader::parse() {
    Progress progress;
    error_code ec;
    const bool in_header = !parser_->is_header_done();
    progress.consumed_bytes = parser_->put(buffer_.data(), ec);
    buffer_.consume(progress.consumed_bytes);
    consumed_any_ = consumed_any_ || progress.consumed_bytes > 0;
    progress.error = error_of(ec);
    // Fields are parsed as they arrive, also before the header is complete.
    if (!progress.error && has_too_many_fields(parser_->get().base())) progress.error = too_many_fields;
    if (progress.error) return progress;
    progress.header_completed = in_header && parser_->is_header_done();
    if (progress.header_completed) progress.error = check_header();
    return progress;
}

std::optional<UnreadableRequest> ClientRequestReader::check_header() {
    if (!length_within_limit(*parser_))
        return UnreadableRequest{http::status::payload_too_large, "body too large"};
    if (!has_unambiguous_length(parser_->get().base()))
        return UnreadableRequest{http::status::bad_request, "unclear length"};
    if (!reserve_body()) return UnreadableRequest{http::status::service_unavailable, "no room for the body"};
    return std::nullopt;
}

bool ClientRequestReader::reserve_body() {
    const auto length = parser_->content_length();
    std::size_t bytes = 0;
    if (length) bytes = static_cast<std::size_t>(*length);
    else if (parser_->chunked()) bytes = max_buffered_body_bytes;
    if (bytes <= max_unreserved_body_bytes) return true;
    body_reservation_ = body_budget_.reserve(bytes);
    return static_cast<bool>(body_reservation_);
}

bool ClientRequestReader::expects_continue() const {
    return boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
}

ClientRequestReader::Released ClientRequestReader::release() {
    const bool chunked = parser_->chunked();
    Released released{parser_->release()};
    parser_.reset();
    released.keep_alive = released.message.keep_alive();
    strip_connection_fields(released.message);
    if (chunked) released.message.content_length(released.message.body().size());
    return released;
}

}  // namespace gateway::server

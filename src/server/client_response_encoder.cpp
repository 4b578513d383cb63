#include "client_response_encoder.h"

#include <utility>

namespace gateway::server {

void ClientResponseEncoder::set_request(unsigned version, bool head) {
    version_ = version;
    head_ = head;
}

void ClientResponseEncoder::encode(Answer&& answer, bool keep_alive, std::string& out) {
    strip_connection_fields(answer.base());
    answer.version(version_);
    answer.keep_alive(keep_alive);
    // A response to HEAD has the Content-Length that the host sent, and no body.
    if (!head_ || answer.count(http::field::content_length) == 0) answer.content_length(answer.body().size());
    if (std::exchange(head_, false)) answer.body().clear();
    serialize(answer, out);
}

bool ClientResponseEncoder::begin_stream(Answer&& first, bool keep_alive, std::string& out) {
    const std::string piece = std::exchange(first.body(), {});
    const bool has_length = first.count(http::field::content_length) > 0;
    chunked_ = !has_length && version_ >= 11;
    const bool can_keep_alive = keep_alive && (has_length || chunked_);
    strip_connection_fields(first.base());
    first.version(version_);
    http::response<http::empty_body> header(std::move(first.base()));
    header.keep_alive(can_keep_alive);
    if (chunked_) header.set(http::field::transfer_encoding, "chunked");
    serialize_header(header, out);
    out += chunked_ && !piece.empty() ? as_chunk(piece) : piece;
    return can_keep_alive;
}

std::string ClientResponseEncoder::encode_piece(std::string&& piece, bool last) const {
    std::string text = chunked_ && !piece.empty() ? as_chunk(piece) : std::move(piece);
    if (last && chunked_) text += "0\r\n\r\n";
    return text;
}

}  // namespace gateway::server

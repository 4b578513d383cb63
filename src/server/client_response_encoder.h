// The encoder for responses on a client connection.
#pragma once

#include <string>

#include "http.h"

namespace gateway::server {

// Frames the responses on one connection according to the HTTP version and method of each request. Performs
// no I/O.
class ClientResponseEncoder {
  public:
    // Sets the request to which the next response belongs. `version`: the HTTP version, 10 or 11. `head`:
    // whether the method is HEAD.
    void set_request(unsigned version, bool head);
    // Encodes a complete response into `out`, which it overwrites.
    void encode(Answer&& answer, bool keep_alive, std::string& out);
    // Encodes the header and the first piece of a streamed response into `out`. Returns whether the
    // connection can be kept alive: an HTTP/1.0 client detects the end of a response without a Content-Length
    // only by the close of the connection.
    [[nodiscard]] bool begin_stream(Answer&& first, bool keep_alive, std::string& out);
    // Encodes a further piece of a streamed response. `last`: whether this piece ends the response.
    [[nodiscard]] std::string encode_piece(std::string&& piece, bool last) const;

  private:
    unsigned version_ = 11;
    bool head_ = false;
    // Whether the streamed response uses the chunked transfer coding.
    bool chunked_ = false;
};

}  // namespace gateway::server

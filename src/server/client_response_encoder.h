// Encodes the responses on a client's connection.
#pragma once

#include <string>

#include "http.h"

namespace gateway::server {

// Frames the responses on one connection as the version and the method of the requests ask for. Performs no
// I/O.
class ClientResponseEncoder {
  public:
    // Sets the request that the next response belongs to. `version`: of HTTP, 10 or 11. `head`: it is a HEAD
    // request.
    void set_request(unsigned version, bool head);
    // Encodes a complete response into `out`.
    void encode(Answer&& answer, bool keep_alive, std::string& out);
    // Encodes the header and the first piece of a streamed response into `out`. Returns whether the
    // connection can be kept alive: an HTTP/1.0 client can tell the end of a response without a length only
    // by the close.
    [[nodiscard]] bool begin_stream(Answer&& first, bool keep_alive, std::string& out);
    // Encodes a further piece of a streamed response, or the last one.
    [[nodiscard]] std::string encode_piece(std::string&& piece, bool last) const;

  private:
    unsigned version_ = 11;
    bool head_ = false;
    bool chunked_ = false;  // the streamed response
};

}  // namespace gateway::server

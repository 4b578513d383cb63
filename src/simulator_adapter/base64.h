// Base64 (RFC 4648) with padding, which encodes peer messages in the simulator's JSON lines.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gateway::simulator {

// Appends the encoding of `bytes`, padded with '=' to a multiple of four characters.
void append_base64(std::string& out, std::string_view bytes);

// Returns the decoded bytes, or nothing if the text is not valid padded base64.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

}  // namespace gateway::simulator

// Base64 (RFC 4648) with padding, as messages between gateways travel in the simulator's JSON lines.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gateway::simulator {

// Appends the encoding of `bytes`, padded with '=' to a multiple of four characters.
void append_base64(std::string& out, std::string_view bytes);

// Nothing where the text is not padded base64.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

}  // namespace gateway::simulator

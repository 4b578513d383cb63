#include "base64.h"

#include <array>
#include <cstdint>

namespace gateway::simulator {
namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char padding = '=';
// A group of three bytes is encoded as four characters of six bits each.
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;
constexpr std::size_t max_padding = 2;

// The six-bit value of each character, or -1 for a character outside the alphabet.
constexpr std::array<std::int8_t, 256> character_values = [] {
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        values[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
    return values;
}();

// The number of padding characters at the end of the text, up to `max_padding`.
std::size_t count_padding(std::string_view text) {
    std::size_t count = 0;
    while (count < max_padding && count < text.size() && text[text.size() - 1 - count] == padding) ++count;
    return count;
}

}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
    for (std::size_t begin = 0; begin < bytes.size(); begin += group_bytes) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < group_bytes; ++i) {
            const std::size_t at = begin + i;
            group = group << 8 | (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0u);
        }
        for (std::size_t i = 0; i < group_characters; ++i)
            out.push_back(begin + i <= bytes.size() ? alphabet[group >> (18 - 6 * i) & 63] : padding);
    }
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % group_characters != 0) return std::nullopt;
    const std::size_t padding_count = count_padding(text);
    std::string bytes;
    for (std::size_t begin = 0; begin < text.size(); begin += group_characters) {
        std::uint32_t group = 0;
        for (std::size_t at = begin; at < begin + group_characters; ++at) {
            const bool is_padding = at >= text.size() - padding_count;
            const int value = is_padding ? 0 : character_values[static_cast<unsigned char>(text[at])];
            if (value < 0) return std::nullopt;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        for (int shift = 16; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(group >> shift & 0xFF));
    }
    bytes.resize(bytes.size() - padding_count);
    return bytes;
}

}  // namespace gateway::simulator

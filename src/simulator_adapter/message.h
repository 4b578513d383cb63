// Parses a line from the simulator: a JSON array of a message name and values by position.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "json/fields.h"

namespace gateway::simulator {

// The values of a message, or of a record in a message, by position. Position 0 is the first value after the
// message name, or the first value of the record.
class Fields {
  public:
    // Appends a value. Values beyond `max_count` are dropped, because no message that this program knows has
    // that many.
    void append(json::element value) noexcept;
    // Returns the value at a position, which may be null. Throws json::BadValue, which contains `name`, if
    // there is no such position.
    [[nodiscard]] json::element required(std::size_t position, std::string_view name) const;
    // Returns no value if there is no such position or the value is null.
    [[nodiscard]] std::optional<json::element> optional(std::size_t position) const;

  private:
    static constexpr std::size_t max_count = 20;

    std::array<json::element, max_count> values_{};
    std::size_t count_ = 0;
};

// A parsed message. Its values refer to the parser's document and are valid until the parser parses the next
// line.
struct Message {
    std::string_view name;
    Fields fields;
};

// Whether a line contains only whitespace. Such lines are skipped.
[[nodiscard]] bool is_blank(std::string_view line);

// Parses lines as messages.
class MessageParser {
  public:
    // Throws json::BadValue if the line is not a JSON array that begins with a message name. Reserves
    // capacity in `line` for the padding that simdjson reads beyond the text, so that the line need not be
    // copied.
    [[nodiscard]] Message parse(std::string& line);

  private:
    simdjson::dom::parser parser_;
};

}  // namespace gateway::simulator

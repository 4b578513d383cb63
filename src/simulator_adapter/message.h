// One line of the simulator's wire: a JSON array of a message name and values by position.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "json/fields.h"

namespace gateway::simulator {

// The values of a message, or of a row within one, by position. Positions count from 0, behind the name.
class Fields {
  public:
    // Values beyond `max_count` are dropped: no message that this version knows has so many.
    void append(json::element value) noexcept;
    // The value at a position, which may be null. Throws json::BadValue where the line is too short; `name`
    // names the value in the error.
    [[nodiscard]] json::element required(std::size_t position, std::string_view name) const;
    // Nothing where the line is too short or the value is null.
    [[nodiscard]] std::optional<json::element> optional(std::size_t position) const;

  private:
    static constexpr std::size_t max_count = 20;

    std::array<json::element, max_count> values_{};
    std::size_t count_ = 0;
};

// Views into the parser's document: valid until the parser takes the next line.
struct Message {
    std::string_view name;
    Fields fields;
};

// Whether a line holds nothing but blanks; such lines are no messages.
[[nodiscard]] bool is_blank(std::string_view line);

class MessageParser {
  public:
    // Throws json::BadValue where the line is not one JSON array that begins with a name. Enlarges the line's
    // capacity by the padding that simdjson reads beyond the text.
    [[nodiscard]] Message parse(std::string& line);

  private:
    simdjson::dom::parser parser_;
};

}  // namespace gateway::simulator

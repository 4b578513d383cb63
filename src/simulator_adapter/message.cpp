#include "message.h"

namespace gateway::simulator {

using json::throw_bad_value;

void Fields::append(json::element value) noexcept {
    if (count_ < max_count) values_[count_++] = value;
}

json::element Fields::required(std::size_t position, std::string_view name) const {
    if (position >= count_) throw_bad_value(name, "a value, the line is too short");
    return values_[position];
}

std::optional<json::element> Fields::optional(std::size_t position) const {
    if (position >= count_ || values_[position].is_null()) return std::nullopt;
    return values_[position];
}

bool is_blank(std::string_view line) { return line.find_first_not_of(" \t\r") == std::string_view::npos; }

Message MessageParser::parse(std::string& line) {
    constexpr bool copy_into_padded_buffer = false;
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    json::element root;
    if (parser_.parse(line.data(), line.size(), copy_into_padded_buffer).get(root) != simdjson::SUCCESS)
        throw_bad_value("malformed line", "one JSON array");
    json::array values;
    if (root.get(values) != simdjson::SUCCESS) throw_bad_value("malformed line", "one JSON array");
    Message message;
    bool has_name = false;
    for (const json::element value : values) {
        if (has_name) {
            message.fields.append(value);
        } else {
            message.name = json::as_text(value, "message name");
            has_name = true;
        }
    }
    if (!has_name) throw_bad_value("malformed line", "a message name");
    return message;
}

}  // namespace gateway::simulator

// Reads JSON values as typed C++ values. Every error names the value and what was expected.
#pragma once

#include <simdjson.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "gateway/interface.h"

namespace gateway::json {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

// Reports a value that is missing, of an unexpected type or out of range. The message contains the name of
// the value, but not its location: callers add a line number or a file name.
class BadValue : public std::runtime_error {
  public:
    BadValue(std::string_view name, std::string_view expected)
        : std::runtime_error(std::string(name) + ": expected " + std::string(expected)),
          name_(name),
          expected_(expected) {}

    // The JSON key of the value, or the name by which the error message identifies a value without a key.
    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    // A description of the values that are accepted.
    [[nodiscard]] const std::string& expected() const noexcept { return expected_; }

  private:
    std::string name_;
    std::string expected_;
};

// Throws BadValue for the value with this name.
[[noreturn]] inline void throw_bad_value(std::string_view name, std::string_view expected) {
    throw BadValue(name, expected);
}

// Each of the following functions converts one value. It throws BadValue, which contains `name`, if the type
// does not fit.

[[nodiscard]] inline double as_number(element value, std::string_view name) {
    double number = 0;
    if (value.get(number) != simdjson::SUCCESS) throw_bad_value(name, "a number");
    return number;
}

// Also accepts a number written with a fraction or an exponent, such as `1e6`, if its value is an integer.
[[nodiscard]] inline std::int64_t as_integer(element value, std::string_view name) {
    // Less than the largest int64_t, which a double does not represent exactly.
    constexpr double max_magnitude = 4e18;
    std::int64_t integer = 0;
    if (value.get(integer) == simdjson::SUCCESS) return integer;
    const double number = as_number(value, name);
    if (number != std::floor(number) || std::abs(number) > max_magnitude) throw_bad_value(name, "an integer");
    return static_cast<std::int64_t>(number);
}

[[nodiscard]] inline std::uint64_t as_unsigned(element value, std::string_view name) {
    std::uint64_t integer = 0;
    if (value.get(integer) != simdjson::SUCCESS) throw_bad_value(name, "a whole number not below 0");
    return integer;
}

// The returned view is valid until the parser that produced the element parses another document.
[[nodiscard]] inline std::string_view as_text(element value, std::string_view name) {
    std::string_view text;
    if (value.get(text) != simdjson::SUCCESS) throw_bad_value(name, "text");
    return text;
}

[[nodiscard]] inline bool as_bool(element value, std::string_view name) {
    bool boolean = false;
    if (value.get(boolean) != simdjson::SUCCESS) throw_bad_value(name, "true or false");
    return boolean;
}

[[nodiscard]] inline array as_array(element value, std::string_view name) {
    array values;
    if (value.get(values) != simdjson::SUCCESS) throw_bad_value(name, "an array");
    return values;
}

[[nodiscard]] inline object as_object(element value, std::string_view name) {
    object members;
    if (value.get(members) != simdjson::SUCCESS) throw_bad_value(name, "an object");
    return members;
}

// Returns the value of a key, which may be null. Throws BadValue if the key is missing.
[[nodiscard]] inline element required(object members, std::string_view key) {
    element value;
    if (members[key].get(value) != simdjson::SUCCESS)
        throw_bad_value("setting '" + std::string(key) + "' is missing", "a value");
    return value;
}

// Returns no value if the key is missing or its value is null.
[[nodiscard]] inline std::optional<element> optional_key(object members, std::string_view key) {
    element value;
    if (members[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

// Reads the value of an optional key into `target`, which keeps its value if the key is missing or null.
// Throws BadValue if the type does not fit.
inline void read(object members, std::string_view key, double& target) {
    if (const auto value = optional_key(members, key)) target = as_number(*value, key);
}
inline void read(object members, std::string_view key, int& target) {
    if (const auto value = optional_key(members, key)) target = static_cast<int>(as_integer(*value, key));
}
inline void read(object members, std::string_view key, bool& target) {
    if (const auto value = optional_key(members, key)) target = as_bool(*value, key);
}
inline void read(object members, std::string_view key, decision::Micros& target) {
    if (const auto value = optional_key(members, key)) target = decision::Micros(as_integer(*value, key));
}

}  // namespace gateway::json

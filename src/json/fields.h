// Typed reading of JSON values. Every error names the value and what was expected of it.
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

// A value that is missing, of another type than expected or out of its range. It knows the value's name only;
// callers add the place (a line number, a file name).
class BadValue : public std::runtime_error {
  public:
    BadValue(std::string_view name, std::string_view expected)
        : std::runtime_error(std::string(name) + ": expected " + std::string(expected)),
          name_(name),
          expected_(expected) {}

    // The JSON key or the name of the value in its message.
    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    [[nodiscard]] const std::string& expected() const noexcept { return expected_; }

  private:
    std::string name_;
    std::string expected_;
};

// Throws BadValue.
[[noreturn]] inline void throw_bad_value(std::string_view name, std::string_view expected) {
    throw BadValue(name, expected);
}

// ---- conversion of one value; each function throws BadValue where the type does not fit ------------------

[[nodiscard]] inline double as_number(element value, std::string_view name) {
    double number = 0;
    if (value.get(number) != simdjson::SUCCESS) throw_bad_value(name, "a number");
    return number;
}

// Also takes a number written with a fraction or an exponent (`1e6`) as long as its value is integral.
[[nodiscard]] inline std::int64_t as_integer(element value, std::string_view name) {
    // Leaves room below the largest int64_t, which a double does not represent exactly.
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

// The view is valid until the parser that made the element parses again.
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

// ---- members of an object --------------------------------------------------------------------------------

// Throws BadValue where the key is missing. The value may be null.
[[nodiscard]] inline element required(object members, std::string_view key) {
    element value;
    if (members[key].get(value) != simdjson::SUCCESS)
        throw_bad_value("setting '" + std::string(key) + "' is missing", "a value");
    return value;
}

// Nothing where the key is missing or its value is null.
[[nodiscard]] inline std::optional<element> optional_key(object members, std::string_view key) {
    element value;
    if (members[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

// Read an optional key into `target`, which keeps its value where the key is missing or null. They throw
// BadValue where the type does not fit.
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

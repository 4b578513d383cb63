// Concatenates texts and numbers.
#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace fault_soak {

inline void append_to(std::string& text, std::string_view part) { text.append(part); }
template <class Number, class = std::enable_if_t<std::is_arithmetic_v<Number>>>
void append_to(std::string& text, Number number) {
    text.append(std::to_string(number));
}

// Returns the concatenation of all parts. Numbers are converted by std::to_string().
template <class... Parts>
[[nodiscard]] std::string concat(const Parts&... parts) {
    std::string text;
    (append_to(text, parts), ...);
    return text;
}

}  // namespace fault_soak

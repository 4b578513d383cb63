// Bytes of the state that one version of the module leaves to the next: plain values, one after the other.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace silverreach {

class StateWriter {
  public:
    template <class... Values>
    void put(const Values&... values) {
        (put_one(values), ...);
    }
    std::string take() { return std::move(bytes_); }

  private:
    template <class T>
    void put_one(const T& value) {
        if constexpr (std::is_same_v<T, std::string>) {
            put_one(static_cast<std::uint32_t>(value.size()));
            bytes_ += value;
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            put_one(static_cast<std::int64_t>(value.count()));
        } else {
            static_assert(std::is_arithmetic_v<T>);
            bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        }
    }
    std::string bytes_;
};

// Throws std::out_of_range where the bytes end too soon.
class StateReader {
  public:
    explicit StateReader(std::string_view bytes) : rest_(bytes) {}
    template <class... Values>
    void get(Values&... values) {
        (get_one(values), ...);
    }
    template <class T>
    T get() {
        T value{};
        get_one(value);
        return value;
    }

  private:
    std::string_view cut(std::size_t size) {
        if (size > rest_.size()) throw std::out_of_range("state: cut short");
        const std::string_view part = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return part;
    }
    template <class T>
    void get_one(T& value) {
        if constexpr (std::is_same_v<T, std::string>) {
            value = cut(get<std::uint32_t>());
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            value = T(get<std::int64_t>());
        } else {
            static_assert(std::is_arithmetic_v<T>);
            std::memcpy(&value, cut(sizeof value).data(), sizeof value);
        }
    }
    std::string_view rest_;
};

}  // namespace silverreach

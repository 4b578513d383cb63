// The byte format of snapshots: plain values in sequence, in the machine's byte order.
//
// A type with several fields has a member template `serialize(codec)`, which passes its fields to the codec
// in order. SnapshotWriter and SnapshotReader are both codecs, so that the order of fields is defined once.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace gateway::decision {

// A set or map, ordered or hashed.
template <class T>
concept KeyedTable = requires {
    typename T::key_type;
};
template <class T>
concept KeyedMap = KeyedTable<T> && requires {
    typename T::mapped_type;
};

class SnapshotWriter {
  public:
    template <class... Values>
    void operator()(Values&... values) {
        (put(values), ...);
    }
    // Writes a time that does not come from this process's clock. SnapshotReader::unshifted_time must read
    // it.
    void unshifted_time(std::chrono::microseconds& time) { put(time); }
    // Returns the bytes written and empties the writer.
    [[nodiscard]] std::string take() { return std::move(bytes_); }

  private:
    template <class T>
    void put(T& value) {
        if constexpr (std::is_same_v<std::remove_const_t<T>, std::string>) {
            put_size(value.size());
            bytes_ += value;
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            const std::int64_t count = value.count();
            put(count);
        } else if constexpr (KeyedTable<T>) {
            put_table(value);
        } else if constexpr (std::is_arithmetic_v<T>) {
            bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        } else {
            value.serialize(*this);
        }
    }
    void put_size(std::size_t size) {
        const auto count = static_cast<std::uint32_t>(size);
        put(count);
    }
    // Writes the entries sorted by key, so that the bytes do not depend on the order of a hash table.
    template <class Table>
    void put_table(Table& table) {
        const auto key_of = [](const auto& entry) -> const typename Table::key_type& {
            if constexpr (KeyedMap<Table>) return entry.first;
            else return entry;
        };
        std::vector<decltype(&*table.begin())> entries;
        entries.reserve(table.size());
        for (auto& entry : table) entries.push_back(&entry);
        std::sort(entries.begin(), entries.end(),
                  [&](auto* left, auto* right) { return key_of(*left) < key_of(*right); });
        put_size(entries.size());
        for (auto* entry : entries) {
            put(key_of(*entry));
            if constexpr (KeyedMap<Table>) put(entry->second);
        }
    }

    std::string bytes_;
};

// Every read throws std::out_of_range if too few bytes are left.
class SnapshotReader {
  public:
    // The bytes must outlive the reader.
    explicit SnapshotReader(std::string_view bytes) : remaining_(bytes) {}

    // Adds the offset to each time that is read from now on, because the writer's clock may have had another
    // origin. Times of 0 mean no time and stay 0.
    void shift_times(std::chrono::microseconds offset) { time_offset_ = offset; }
    // Reads a time without adding the offset.
    void unshifted_time(std::chrono::microseconds& time) {
        const auto offset = std::exchange(time_offset_, std::chrono::microseconds{0});
        get(time);
        time_offset_ = offset;
    }
    template <class... Values>
    void operator()(Values&... values) {
        (get(values), ...);
    }

  private:
    std::string_view read_bytes(std::size_t size) {
        if (size > remaining_.size()) throw std::out_of_range("snapshot is truncated");
        const std::string_view bytes = remaining_.substr(0, size);
        remaining_.remove_prefix(size);
        return bytes;
    }
    template <class T>
    T next() {
        T value{};
        get(value);
        return value;
    }
    template <class T>
    void get(T& value) {
        if constexpr (std::is_same_v<T, std::string>) {
            value = read_bytes(next<std::uint32_t>());
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            value = T(next<std::int64_t>());
            if (value.count() != 0) value += time_offset_;
        } else if constexpr (KeyedMap<T>) {
            for (auto entries = next<std::uint32_t>(); entries > 0; --entries)
                get(value[next<typename T::key_type>()]);
        } else if constexpr (KeyedTable<T>) {
            for (auto entries = next<std::uint32_t>(); entries > 0; --entries)
                value.insert(next<typename T::key_type>());
        } else if constexpr (std::is_arithmetic_v<T>) {
            std::memcpy(&value, read_bytes(sizeof value).data(), sizeof value);
        } else {
            value.serialize(*this);
        }
    }

    std::string_view remaining_;
    std::chrono::microseconds time_offset_{0};
};

}  // namespace gateway::decision

// The byte format of snapshots: plain values, one after the other, in the machine's byte order.
//
// A type with several fields has a member template `serialize(codec)`, which passes its fields to the codec
// in order. Writer and reader are both such codecs, so that the order stands in one place.
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

// A set or map.
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
    // A time that is not of this process's clock, and that the reader must not move.
    void stamp(std::chrono::microseconds& time) { put(time); }
    // The bytes written; the writer is empty afterwards.
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
    // By key, because the order of a hash table must not show.
    template <class Table>
    void put_table(Table& table) {
        const auto key_of = [](const auto& row) -> const typename Table::key_type& {
            if constexpr (KeyedMap<Table>) return row.first;
            else return row;
        };
        std::vector<decltype(&*table.begin())> rows;
        rows.reserve(table.size());
        for (auto& row : table) rows.push_back(&row);
        std::sort(rows.begin(), rows.end(),
                  [&](auto* left, auto* right) { return key_of(*left) < key_of(*right); });
        put_size(rows.size());
        for (auto* row : rows) {
            put(key_of(*row));
            if constexpr (KeyedMap<Table>) put(row->second);
        }
    }

    std::string bytes_;
};

// Every read throws std::out_of_range where the bytes end too soon.
class SnapshotReader {
  public:
    // The bytes must outlive the reader.
    explicit SnapshotReader(std::string_view bytes) : rest_(bytes) {}

    // From now on adds the offset to each time but 0, which stands for none: the writer's clock had another
    // origin.
    void move_times(std::chrono::microseconds offset) { time_offset_ = offset; }
    // A time that is not moved.
    void stamp(std::chrono::microseconds& time) {
        const auto offset = std::exchange(time_offset_, std::chrono::microseconds{0});
        get(time);
        time_offset_ = offset;
    }
    template <class... Values>
    void operator()(Values&... values) {
        (get(values), ...);
    }

  private:
    std::string_view cut(std::size_t size) {
        if (size > rest_.size()) throw std::out_of_range("snapshot: cut short");
        const std::string_view part = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return part;
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
            value = cut(next<std::uint32_t>());
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            value = T(next<std::int64_t>());
            if (value.count() != 0) value += time_offset_;
        } else if constexpr (KeyedMap<T>) {
            for (auto rows = next<std::uint32_t>(); rows > 0; --rows)
                get(value[next<typename T::key_type>()]);
        } else if constexpr (KeyedTable<T>) {
            for (auto rows = next<std::uint32_t>(); rows > 0; --rows)
                value.insert(next<typename T::key_type>());
        } else if constexpr (std::is_arithmetic_v<T>) {
            std::memcpy(&value, cut(sizeof value).data(), sizeof value);
        } else {
            value.serialize(*this);
        }
    }

    std::string_view rest_;
    std::chrono::microseconds time_offset_{0};
};

}  // namespace gateway::decision

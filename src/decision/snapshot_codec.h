// Bytes of the state that one version of the module leaves to the next: plain values, one after the other.
// What holds several tells which in `serialize`, the same for both directions.
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
    // A time that is no time of this process's clock.
    void stamp(std::chrono::microseconds& time) { put(time); }
    std::string take() { return std::move(bytes_); }

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
        const auto told = static_cast<std::uint32_t>(size);
        put(told);
    }
    // By key: the order of a hash table must not show.
    template <class Table>
    void put_table(Table& table) {
        const auto key = [](const auto& row) -> const typename Table::key_type& {
            if constexpr (KeyedMap<Table>) return row.first;
            else return row;
        };
        std::vector<decltype(&*table.begin())> rows;
        for (auto& row : table) rows.push_back(&row);
        std::sort(rows.begin(), rows.end(), [&](auto* a, auto* b) { return key(*a) < key(*b); });
        put_size(rows.size());
        for (auto* row : rows) {
            put(key(*row));
            if constexpr (KeyedMap<Table>) put(row->second);
        }
    }
    std::string bytes_;
};

// Throws std::out_of_range where the bytes end too soon.
class SnapshotReader {
  public:
    explicit SnapshotReader(std::string_view bytes) : rest_(bytes) {}
    // From now on each time but 0, which stands for none, is moved by so much: the writer's clock had another
    // origin.
    void move_times(std::chrono::microseconds by) { moved_by_ = by; }
    void stamp(std::chrono::microseconds& time) {
        const auto moved_by = std::exchange(moved_by_, std::chrono::microseconds{0});
        get(time);
        moved_by_ = moved_by;
    }
    template <class... Values>
    void operator()(Values&... values) {
        (get(values), ...);
    }

  private:
    std::string_view cut(std::size_t size) {
        if (size > rest_.size()) throw std::out_of_range("state: cut short");
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
            if (value.count() != 0) value += moved_by_;
        } else if constexpr (KeyedMap<T>) {
            for (auto n = next<std::uint32_t>(); n > 0; --n) get(value[next<typename T::key_type>()]);
        } else if constexpr (KeyedTable<T>) {
            for (auto n = next<std::uint32_t>(); n > 0; --n) value.insert(next<typename T::key_type>());
        } else if constexpr (std::is_arithmetic_v<T>) {
            std::memcpy(&value, cut(sizeof value).data(), sizeof value);
        } else {
            value.serialize(*this);
        }
    }
    std::string_view rest_;
    std::chrono::microseconds moved_by_{0};
};

}  // namespace gateway::decision

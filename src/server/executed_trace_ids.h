// The trace ids of requests that must not be executed again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

#include "clock.h"

namespace gateway::server {

// Stores the trace ids of non-idempotent requests that hosts may have executed, for a while after their end.
// A client that sends such a request again after it has disconnected would otherwise have it executed twice.
// Only hashes are stored, so that the memory does not depend on the length of the ids.
class ExecutedTraceIds {
  public:
    // How long an id is stored.
    static constexpr Micros retention = std::chrono::seconds(30);
    // If there are more ids than this, the oldest is removed.
    static constexpr std::size_t max_ids = 16 * 1024;

    void add(std::string_view trace_id, Micros now) { add_hash(hash_of(trace_id), now); }
    [[nodiscard]] bool contains(std::string_view trace_id, Micros now);
    // Returns the hashes in text form, for the successor in an upgrade.
    [[nodiscard]] std::string serialize() const;
    // Adds the hashes that another process has serialized. Stops at the first malformed one.
    void restore(std::string_view serialized, Micros now);
    // The length of one hash in text form: hexadecimal digits.
    static constexpr std::size_t serialized_length = 16;

  private:
    using Hash = std::uint64_t;
    struct Entry {
        Hash hash;
        Micros added_at;
    };

    // Must remain the same in each version, because the two processes of an upgrade may be of different ones.
    [[nodiscard]] static Hash hash_of(std::string_view trace_id);
    void add_hash(Hash hash, Micros now);
    void remove_expired(Micros now);
    void remove_oldest();

    std::deque<Entry> entries_;  // oldest first
    std::unordered_set<Hash> hashes_;
};

}  // namespace gateway::server

#include "executed_trace_ids.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace gateway::server {

// 64-bit FNV-1a.
ExecutedTraceIds::Hash ExecutedTraceIds::hash_of(std::string_view trace_id) {
    constexpr Hash offset_basis = 14695981039346656037U;
    constexpr Hash prime = 1099511628211U;
    Hash hash = offset_basis;
    for (const char character : trace_id) hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    return hash;
}

bool ExecutedTraceIds::contains(std::string_view trace_id, Micros now) {
    remove_expired(now);
    return !entries_.empty() && hashes_.contains(hash_of(trace_id));
}

void ExecutedTraceIds::add_hash(Hash hash, Micros now) {
    remove_expired(now);
    if (!hashes_.insert(hash).second) return;
    entries_.push_back({hash, now});
    if (entries_.size() > max_ids) remove_oldest();
}

void ExecutedTraceIds::remove_expired(Micros now) {
    while (!entries_.empty() && now - entries_.front().added_at >= retention) remove_oldest();
}

void ExecutedTraceIds::remove_oldest() {
    hashes_.erase(entries_.front().hash);
    entries_.pop_front();
}

std::string ExecutedTraceIds::serialize() const {
    std::string serialized;
    serialized.reserve(entries_.size() * serialized_length);
    for (const Entry& entry : entries_) {
        std::array<char, serialized_length + 1> digits;
        std::snprintf(digits.data(), digits.size(), "%016" PRIx64, entry.hash);
        serialized.append(digits.data(), serialized_length);
    }
    return serialized;
}

void ExecutedTraceIds::restore(std::string_view serialized, Micros now) {
    constexpr int hexadecimal = 16;
    for (; serialized.size() >= serialized_length; serialized.remove_prefix(serialized_length)) {
        Hash hash = 0;
        const char* const end = serialized.data() + serialized_length;
        const auto parsed = std::from_chars(serialized.data(), end, hash, hexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != end) return;
        add_hash(hash, now);
    }
}

}  // namespace gateway::server

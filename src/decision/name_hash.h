// The hash of names that gateways exchange and that orders their hosts.
#pragma once

#include <cstdint>
#include <string_view>

namespace gateway::decision {

// 32-bit FNV-1a. The same in every gateway and version, because lease holders are found by it.
[[nodiscard]] constexpr std::uint32_t name_hash(std::string_view name) {
    constexpr std::uint32_t offset_basis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t hash = offset_basis;
    for (const char character : name) hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    return hash;
}

}  // namespace gateway::decision

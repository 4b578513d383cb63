// Hash of customer and host names. Gateways exchange it in peer messages and order their hosts by it.
#pragma once

#include <cstdint>
#include <string_view>

namespace gateway::decision {

// 32-bit FNV-1a. It must be the same in every gateway and version, because gateways determine lease holders
// by it.
[[nodiscard]] constexpr std::uint32_t name_hash(std::string_view name) {
    constexpr std::uint32_t offset_basis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t hash = offset_basis;
    for (const char character : name) hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    return hash;
}

}  // namespace gateway::decision

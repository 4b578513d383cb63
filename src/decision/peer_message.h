// Messages between gateways, and their bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "name_hash.h"

namespace gateway::decision {

// Asks a customer's lease holder for a lease on units of the quota, and of the ceiling's common share.
struct LeaseRequest {
    std::uint32_t nonce = 0;     // of the request, repeated in its grant
    std::uint32_t customer = 0;  // hash of the customer's name
    int plan = 0;                // index into Settings::plans, below 256
    int set_size = 1;            // gateways through which the customer's requests arrive
    int set_start = 0;           // rank of the first of them
    double required_units = 0;   // without which the lease is of no use
    double prefetch_units = 0;   // further units that are likely to be used soon
    double ceiling_units = 0;    // of the ceiling, that the requester's own share lacks
};

// The answer to a LeaseRequest; all units 0: nothing is granted.
struct LeaseGrant {
    std::uint32_t nonce = 0;  // of the request
    double units = 0;
    double ceiling_units = 0;
    std::uint32_t retry_after_ms = 0;  // where nothing is granted: until it could be
    double demand = 0;  // units a second lately requested for this customer by all its gateways
};

// Tells the lease holder how many permits of a customer's concurrency limit are of use to a gateway, those
// that it has included; 0 returns them.
struct PermitRequest {
    std::uint32_t nonce = 0;     // rises with each request of a gateway, modulo 2^32
    std::uint32_t customer = 0;  // hash of the customer's name
    int plan = 0;                // index into Settings::plans, below 256
    int set_size = 1;
    int set_start = 0;
    int wanted = 0;
};

// The permits that a gateway has now.
struct PermitGrant {
    std::uint32_t nonce = 0;  // of the gateway's latest request
    std::uint32_t customer = 0;
    int granted = 0;
    int queue_length = 0;  // permits that gateways of the set wait for
};

using PeerMessage = std::variant<LeaseRequest, LeaseGrant, PermitRequest, PermitGrant>;

// What fits into the bytes that one exchange of gateways may have.
inline constexpr std::size_t max_message_bytes = 256;
inline constexpr std::size_t max_records_per_message = 12;

// The bytes of the first `max_records_per_message` messages; further ones are left out. Units travel in
// sixteenths, 4095 at most; those of requests are rounded up, those of grants down.
[[nodiscard]] std::string encode(const std::vector<PeerMessage>& messages);
// Nothing for bytes that no gateway of this version encodes.
[[nodiscard]] std::optional<std::vector<PeerMessage>> decode(std::string_view bytes);

}  // namespace gateway::decision

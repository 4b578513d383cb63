// Peer messages and their encoding as datagrams.
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

// Requests a lease from a customer's lease holder: units of the quota, and units of the lease holder's share
// of the ceiling.
struct LeaseRequest {
    std::uint32_t nonce = 0;     // identifies the request; the grant repeats it
    std::uint32_t customer = 0;  // hash of the customer's name
    int plan = 0;                // index into Settings::plans, below 256
    int set_size = 1;            // number of gateways through which the customer's requests arrive
    int set_start = 0;           // rank of the first such gateway
    double required_units = 0;   // units without which the requester cannot use the lease
    double prefetch_units = 0;   // additional units for predicted demand
    double ceiling_units = 0;    // units of the ceiling that the requester's own share lacks
};

// The answer to a LeaseRequest. If all units are 0, nothing is granted.
struct LeaseGrant {
    std::uint32_t nonce = 0;           // nonce of the request
    double units = 0;                  // granted units of the quota
    double ceiling_units = 0;          // granted units of the ceiling
    std::uint32_t retry_after_ms = 0;  // if nothing is granted: time until the units could be granted
    double demand = 0;  // recent demand for this customer at all its gateways, in units per second
};

// Reports to the lease holder how many permits of a customer's concurrency limit a gateway needs, including
// those that it already holds. A request for 0 permits returns all of them.
struct PermitRequest {
    std::uint32_t nonce = 0;     // increases with each request of a gateway, modulo 2^32
    std::uint32_t customer = 0;  // hash of the customer's name
    int plan = 0;                // index into Settings::plans, below 256
    int set_size = 1;            // number of gateways through which the customer's requests arrive
    int set_start = 0;           // rank of the first such gateway
    int requested = 0;           // number of permits that the gateway needs
};

// The permits that a gateway holds from now on.
struct PermitGrant {
    std::uint32_t nonce = 0;     // nonce of the gateway's latest request
    std::uint32_t customer = 0;  // hash of the customer's name
    int granted = 0;             // number of permits that the gateway holds
    int queue_length = 0;        // number of permits that gateways of the set wait for
};

using PeerMessage = std::variant<LeaseRequest, LeaseGrant, PermitRequest, PermitGrant>;

// Limits of one datagram: its size in bytes, and the number of records that fit into this size.
inline constexpr std::size_t max_message_bytes = 256;
inline constexpr std::size_t max_records_per_message = 12;

// Encodes the first `max_records_per_message` messages as one datagram and ignores further messages. Units
// are encoded as multiples of a sixteenth, up to 4095 units. Units of requests are rounded up, units of
// grants down.
[[nodiscard]] std::string encode(const std::vector<PeerMessage>& messages);
// Decodes a datagram. Returns std::nullopt for bytes that are not a valid datagram of this version.
[[nodiscard]] std::optional<std::vector<PeerMessage>> decode(std::string_view bytes);

}  // namespace gateway::decision

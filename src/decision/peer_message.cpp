#include "peer_message.h"

#include <algorithm>
#include <cmath>

namespace gateway::decision {
namespace {
constexpr std::uint32_t format_mark = 0xA8, request_mark = 1, grant_mark = 2, slot_request_mark = 3,
                        slot_grant_mark = 4;
constexpr std::size_t check_bytes = 2, request_bytes = 20, grant_bytes = 13, slot_request_bytes = 15,
                      slot_grant_bytes = 11;
constexpr double sixteenths = 16;
static_assert(1 + most_together * request_bytes + check_bytes <= max_message_bytes);

void put(std::string& out, std::uint32_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
}
void put_units(std::string& out, double scaled) {
    put(out, static_cast<std::uint32_t>(std::clamp(scaled, 0.0, 65535.0)), 2);
}
void put_message(std::string& out, const LeaseRequest& request) {
    put(out, request_mark, 1);
    put(out, request.nonce, 4);
    put(out, request.customer, 4);
    put(out, static_cast<std::uint32_t>(request.plan), 1);
    put(out, static_cast<std::uint32_t>(request.set_size), 2);
    put(out, static_cast<std::uint32_t>(request.set_start), 2);
    for (const double units : {request.need, request.extra, request.hard})
        put_units(out, std::ceil(units * sixteenths));
}
void put_message(std::string& out, const LeaseGrant& given) {
    put(out, grant_mark, 1);
    put(out, given.nonce, 4);
    put_units(out, given.units * sixteenths);
    put_units(out, given.hard * sixteenths);
    put(out, std::min<std::uint32_t>(given.wait_ms, 65535), 2);
    put_units(out, given.demand * sixteenths);
}
void put_message(std::string& out, const PermitRequest& request) {
    put(out, slot_request_mark, 1);
    put(out, request.nonce, 4);
    put(out, request.customer, 4);
    put(out, static_cast<std::uint32_t>(request.plan), 1);
    put(out, static_cast<std::uint32_t>(request.set_size), 2);
    put(out, static_cast<std::uint32_t>(request.set_start), 2);
    put(out, static_cast<std::uint32_t>(std::clamp(request.wanted, 0, 255)), 1);
}
void put_message(std::string& out, const PermitGrant& grant) {
    put(out, slot_grant_mark, 1);
    put(out, grant.nonce, 4);
    put(out, grant.customer, 4);
    for (const int slots : {grant.held, grant.in_line})
        put(out, static_cast<std::uint32_t>(std::clamp(slots, 0, 255)), 1);
}

std::uint32_t take(std::string_view& in, int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i) value |= std::uint32_t{static_cast<unsigned char>(in[i])} << (8 * i);
    in.remove_prefix(bytes);
    return value;
}
double take_units(std::string_view& in) { return take(in, 2) / sixteenths; }

LeaseRequest take_request(std::string_view& in) {
    LeaseRequest request;
    request.nonce = take(in, 4);
    request.customer = take(in, 4);
    request.plan = static_cast<int>(take(in, 1));
    request.set_size = static_cast<int>(take(in, 2));
    request.set_start = static_cast<int>(take(in, 2));
    request.need = take_units(in);
    request.extra = take_units(in);
    request.hard = take_units(in);
    return request;
}
LeaseGrant take_lease_grant(std::string_view& in) {
    LeaseGrant given;
    given.nonce = take(in, 4);
    given.units = take_units(in);
    given.hard = take_units(in);
    given.wait_ms = take(in, 2);
    given.demand = take_units(in);
    return given;
}
PermitRequest take_slot_request(std::string_view& in) {
    PermitRequest request;
    request.nonce = take(in, 4);
    request.customer = take(in, 4);
    request.plan = static_cast<int>(take(in, 1));
    request.set_size = static_cast<int>(take(in, 2));
    request.set_start = static_cast<int>(take(in, 2));
    request.wanted = static_cast<int>(take(in, 1));
    return request;
}
PermitGrant take_slot_grant(std::string_view& in) {
    PermitGrant grant;
    grant.nonce = take(in, 4);
    grant.customer = take(in, 4);
    grant.held = static_cast<int>(take(in, 1));
    grant.in_line = static_cast<int>(take(in, 1));
    return grant;
}
}  // namespace

std::uint32_t name_hash(std::string_view name) {
    std::uint32_t h = 2166136261u;  // FNV-1a
    for (unsigned char c : name) h = (h ^ c) * 16777619u;
    return h;
}

std::string pack(const std::vector<PeerMessage>& messages) {
    std::string out;
    put(out, format_mark, 1);
    for (std::size_t i = 0; i < std::min(messages.size(), most_together); ++i)
        std::visit([&](const auto& m) { put_message(out, m); }, messages[i]);
    put(out, name_hash(out), check_bytes);
    return out;
}

std::optional<std::vector<PeerMessage>> unpack(std::string_view in) {
    if (in.size() < 1 + check_bytes || in.size() > max_message_bytes) return std::nullopt;
    std::string_view tail = in.substr(in.size() - check_bytes);
    in.remove_suffix(check_bytes);
    if (take(tail, check_bytes) != (name_hash(in) & 0xFFFF) || take(in, 1) != format_mark)
        return std::nullopt;
    std::vector<PeerMessage> messages;
    while (!in.empty()) {
        const std::uint32_t mark = take(in, 1);
        if (mark == request_mark && in.size() >= request_bytes - 1) messages.push_back(take_request(in));
        else if (mark == grant_mark && in.size() >= grant_bytes - 1) messages.push_back(take_lease_grant(in));
        else if (mark == slot_request_mark && in.size() >= slot_request_bytes - 1)
            messages.push_back(take_slot_request(in));
        else if (mark == slot_grant_mark && in.size() >= slot_grant_bytes - 1)
            messages.push_back(take_slot_grant(in));
        else return std::nullopt;
    }
    return messages;
}

}  // namespace gateway::decision

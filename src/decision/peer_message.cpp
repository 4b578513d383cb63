#include "peer_message.h"

#include <algorithm>
#include <cmath>

namespace gateway::decision {
namespace {

// A datagram consists of a format byte, one record per peer message, and a checksum: the lower bytes of the
// hash of all preceding bytes. A record consists of a type byte and its fields in little-endian order.
constexpr std::uint32_t message_format = 0xA8;
constexpr std::size_t checksum_bytes = 2;
constexpr std::uint32_t checksum_mask = 0xFFFF;

enum class RecordType : std::uint8_t {
    lease_request = 1,
    lease_grant = 2,
    permit_request = 3,
    permit_grant = 4,
};

// Sizes of the records in bytes, without the type byte.
constexpr std::size_t lease_request_bytes = 19;
constexpr std::size_t lease_grant_bytes = 12;
constexpr std::size_t permit_request_bytes = 14;
constexpr std::size_t permit_grant_bytes = 10;
constexpr std::size_t longest_record_bytes = 1 + lease_request_bytes;
static_assert(1 + max_records_per_message * longest_record_bytes + checksum_bytes <= max_message_bytes);

// Units are encoded as multiples of a sixteenth, in two bytes.
constexpr double unit_steps = 16;
constexpr double max_steps = 65535;
constexpr std::uint32_t max_wait_ms = 65535;
constexpr int max_permits = 255;

class RecordWriter {
  public:
    explicit RecordWriter(std::string& out) : out_(out) {}

    void put(std::uint32_t value, int bytes) {
        for (int i = 0; i < bytes; ++i) out_.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
    }
    void put_type(RecordType type) { put(static_cast<std::uint32_t>(type), 1); }
    // Rounds up to the next sixteenth of a unit.
    void put_units_rounded_up(double units) { put_steps(std::ceil(units * unit_steps)); }
    // Rounds down to a sixteenth of a unit.
    void put_units_rounded_down(double units) { put_steps(units * unit_steps); }
    void put_permits(int permits) { put(static_cast<std::uint32_t>(std::clamp(permits, 0, max_permits)), 1); }
    // Writes the fields that lease requests and permit requests begin with.
    void put_customer(const auto& request) {
        put(request.nonce, 4);
        put(request.customer, 4);
        put(static_cast<std::uint32_t>(request.plan), 1);
        put(static_cast<std::uint32_t>(request.set_size), 2);
        put(static_cast<std::uint32_t>(request.set_start), 2);
    }

    void write(const LeaseRequest& request) {
        put_type(RecordType::lease_request);
        put_customer(request);
        put_units_rounded_up(request.required_units);
        put_units_rounded_up(request.prefetch_units);
        put_units_rounded_up(request.ceiling_units);
    }
    void write(const LeaseGrant& grant) {
        put_type(RecordType::lease_grant);
        put(grant.nonce, 4);
        put_units_rounded_down(grant.units);
        put_units_rounded_down(grant.ceiling_units);
        put(std::min(grant.retry_after_ms, max_wait_ms), 2);
        put_units_rounded_down(grant.demand);
    }
    void write(const PermitRequest& request) {
        put_type(RecordType::permit_request);
        put_customer(request);
        put_permits(request.requested);
    }
    void write(const PermitGrant& grant) {
        put_type(RecordType::permit_grant);
        put(grant.nonce, 4);
        put(grant.customer, 4);
        put_permits(grant.granted);
        put_permits(grant.queue_length);
    }

  private:
    void put_steps(double steps) { put(static_cast<std::uint32_t>(std::clamp(steps, 0.0, max_steps)), 2); }

    std::string& out_;
};

// Reads fields from bytes. The caller has to check that enough bytes remain.
class RecordReader {
  public:
    explicit RecordReader(std::string_view bytes) : rest_(bytes) {}

    [[nodiscard]] std::size_t size() const { return rest_.size(); }
    [[nodiscard]] bool empty() const { return rest_.empty(); }
    std::uint32_t read(int bytes) {
        std::uint32_t value = 0;
        for (int i = 0; i < bytes; ++i) {
            const auto byte = static_cast<unsigned char>(rest_[static_cast<std::size_t>(i)]);
            value |= std::uint32_t{byte} << (8 * i);
        }
        rest_.remove_prefix(static_cast<std::size_t>(bytes));
        return value;
    }
    int read_int(int bytes) { return static_cast<int>(read(bytes)); }
    double read_units() { return read(2) / unit_steps; }
    void read_customer(auto& request) {
        request.nonce = read(4);
        request.customer = read(4);
        request.plan = read_int(1);
        request.set_size = read_int(2);
        request.set_start = read_int(2);
    }

    LeaseRequest read_lease_request() {
        LeaseRequest request;
        read_customer(request);
        request.required_units = read_units();
        request.prefetch_units = read_units();
        request.ceiling_units = read_units();
        return request;
    }
    LeaseGrant read_lease_grant() {
        LeaseGrant grant;
        grant.nonce = read(4);
        grant.units = read_units();
        grant.ceiling_units = read_units();
        grant.retry_after_ms = read(2);
        grant.demand = read_units();
        return grant;
    }
    PermitRequest read_permit_request() {
        PermitRequest request;
        read_customer(request);
        request.requested = read_int(1);
        return request;
    }
    PermitGrant read_permit_grant() {
        PermitGrant grant;
        grant.nonce = read(4);
        grant.customer = read(4);
        grant.granted = read_int(1);
        grant.queue_length = read_int(1);
        return grant;
    }
    // Returns std::nullopt for a record that is truncated or of an unknown type.
    std::optional<PeerMessage> read_record() {
        const auto type = static_cast<RecordType>(read(1));
        if (type == RecordType::lease_request && size() >= lease_request_bytes) return read_lease_request();
        if (type == RecordType::lease_grant && size() >= lease_grant_bytes) return read_lease_grant();
        if (type == RecordType::permit_request && size() >= permit_request_bytes)
            return read_permit_request();
        if (type == RecordType::permit_grant && size() >= permit_grant_bytes) return read_permit_grant();
        return std::nullopt;
    }

  private:
    std::string_view rest_;
};

}  // namespace

std::string encode(const std::vector<PeerMessage>& messages) {
    std::string bytes;
    RecordWriter writer(bytes);
    writer.put(message_format, 1);
    const std::size_t count = std::min(messages.size(), max_records_per_message);
    for (std::size_t i = 0; i < count; ++i)
        std::visit([&](const auto& message) { writer.write(message); }, messages[i]);
    writer.put(name_hash(bytes), checksum_bytes);
    return bytes;
}

std::optional<std::vector<PeerMessage>> decode(std::string_view bytes) {
    if (bytes.size() < 1 + checksum_bytes || bytes.size() > max_message_bytes) return std::nullopt;
    const std::string_view body = bytes.substr(0, bytes.size() - checksum_bytes);
    RecordReader checksum(bytes.substr(body.size()));
    if (checksum.read(checksum_bytes) != (name_hash(body) & checksum_mask)) return std::nullopt;
    RecordReader reader(body);
    if (reader.read(1) != message_format) return std::nullopt;
    std::vector<PeerMessage> messages;
    while (!reader.empty()) {
        const std::optional<PeerMessage> message = reader.read_record();
        if (!message) return std::nullopt;
        messages.push_back(*message);
    }
    return messages;
}

}  // namespace gateway::decision

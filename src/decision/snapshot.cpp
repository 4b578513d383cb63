#include "snapshot.h"

#include <map>
#include <stdexcept>
#include <utility>

#include "snapshot_codec.h"

namespace gateway::decision {
namespace {
constexpr std::uint32_t snapshot_version = 3;

// Shared by save and restore, so that both use the same order of values.
void serialize_counters(Modules& modules, auto& codec) {
    modules.context.serialize_nonce(codec);
    modules.load.serialize_responses(codec);
    modules.context.serialize_start(codec);
    modules.load.serialize_limit(codec);
    modules.retries.serialize(codec);
    modules.hosts.serialize_bans(codec);
}

void read_snapshot(Modules& modules, SnapshotReader& reader) {
    std::uint32_t version = 0;
    reader(version);
    if (version != snapshot_version) return;
    Micros saved_at{0};
    reader(saved_at);
    reader.shift_times(modules.context.since(saved_at));
    serialize_counters(modules, reader);
    std::map<std::string, Host> hosts;
    reader(hosts);
    modules.hosts.restore(std::move(hosts));
    modules.hosts.apply_bans();
    modules.ledger.serialize(reader);
    modules.customers.serialize(reader);
}

void mark_inherited_as_used(Customer& customer) {
    QuotaLeases::spend_inherited_reservations(customer);
    customer.permits.in_flight += std::exchange(customer.permits.admitted, 0);
}
}  // namespace

std::string save_snapshot(Modules& modules) {
    SnapshotWriter writer;
    Micros now = modules.context.now();
    writer(snapshot_version, now);
    serialize_counters(modules, writer);
    modules.hosts.serialize_hosts(writer);
    modules.ledger.serialize(writer);
    modules.customers.serialize(writer);
    return writer.take();
}

void restore_snapshot(Modules& modules, const std::string& bytes) {
    try {
        SnapshotReader reader(bytes);
        read_snapshot(modules, reader);
    } catch (const std::out_of_range&) {
        // The snapshot is truncated. The values read so far are used; the others stay as after a start.
    }
    for (auto& [name, customer] : modules.customers) mark_inherited_as_used(customer);
}

}  // namespace gateway::decision

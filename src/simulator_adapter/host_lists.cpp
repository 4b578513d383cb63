#include "host_lists.h"

namespace gateway::simulator {
namespace {

using namespace decision;
using namespace json;

HostState read_host_state(std::string_view health) {
    if (health == "U") return HostState::up;
    if (health == "L") return HostState::draining;
    if (health == "D") return HostState::gone;
    throw_bad_value("health", "U, L or D");
}

// Reads a host from its values by position: name, zone, kind, cell, state, weight and start time.
HostEntry read_host_entry(const Fields& row) {
    HostEntry entry;
    entry.host = as_text(row.required(0, "host"), "host");
    if (const auto zone = row.optional(1)) entry.zone = as_text(*zone, "failureDomain");
    if (const auto kind = row.optional(2)) entry.kind = as_text(*kind, "hw");
    if (const auto cell = row.optional(3)) entry.cell = as_integer(*cell, "pack");
    entry.state = read_host_state(as_text(row.required(4, "health"), "health"));
    if (const auto weight = row.optional(5)) entry.weight = as_number(*weight, "weight");
    if (const auto started = row.optional(6)) entry.started = Micros(as_integer(*started, "bootTimeUs"));
    return entry;
}

Fields read_row(element record) {
    Fields row;
    for (const element value : as_array(record, "records[]")) row.append(value);
    return row;
}

}  // namespace

bool HostLists::is_slot(std::int64_t slot) noexcept {
    return slot >= 0 && slot < static_cast<std::int64_t>(slot_count);
}

void HostLists::declare(const Fields& fields) {
    const std::int64_t slot = as_integer(fields.required(0, "slot"), "slot");
    if (!is_slot(slot)) throw_bad_value("slot", "a list number from 0 to 15");
    HostEntries entries;
    for (const element record : as_array(fields.required(1, "records"), "records"))
        entries.push_back(read_host_entry(read_row(record)));
    lists_[static_cast<std::size_t>(slot)] = std::move(entries);
}

const HostEntries& HostLists::at(std::int64_t slot) const {
    if (!is_slot(slot) || !lists_[static_cast<std::size_t>(slot)])
        throw_bad_value("slot", "the number of a list that a Directory declared");
    return *lists_[static_cast<std::size_t>(slot)];
}

}  // namespace gateway::simulator

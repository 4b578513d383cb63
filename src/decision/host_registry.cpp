#include "host_registry.h"

#include <algorithm>
#include <utility>

#include "name_hash.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// The endpoint list reports a host's start at most this long after it.
constexpr Micros max_start_report_delay = 30s;
// The start of a host that has left the endpoint list is kept for this time.
constexpr Micros departed_lifetime = 10min;
}  // namespace

void HostRegistry::update(const HostsChanged& change) {
    if (change.complete_list) {
        for (auto& [name, host] : hosts_) {
            host.entry.state = HostState::gone;
            gone_.insert(name);
        }
    }
    for (const HostEntry& entry : change.entries) apply_entry(entry);
    if (change.complete_list)
        for (const std::string& name : gone_) slow_start_.update(hosts_.at(name));
    // The first list is the one that was cached when this process started. It may be of any age, so the time
    // of its arrival is not recorded.
    if (std::exchange(has_list_, true)) last_list_at_ = context_.now();
}

void HostRegistry::apply_entry(const HostEntry& entry) {
    auto [position, created] = hosts_.try_emplace(entry.host);
    Host& host = position->second;
    const Micros started = effective_start(host, entry, created);
    if (created || entry.started != host.reported_start) reset(host, entry.host);
    // A host may have been restarted while it was banned, without a report. Until the list reports a later
    // start, the time of its unban counts as its start.
    const auto unbanned = unbanned_at_.find(entry.host);
    host.entry = entry;
    host.reported_start = entry.started;
    host.entry.started = unbanned == unbanned_at_.end() ? started : std::max(started, unbanned->second);
    if (created) order_.insert(host);
    if (host.entry.state == HostState::gone) gone_.insert(entry.host);
    else gone_.erase(entry.host);
    slow_start_.update(host);
}

// Returns the start time that counts for the host's slow start. Starts are reported by a wall clock, which
// may be stepped. A start in the future counts as now. A changed start also counts as now if it is
// implausibly old: more than `max_start_report_delay` before the previous change of the endpoint list. This
// guards against a restarted host that passes for warm, and against one that seems to start in the future.
// The cost is a slow start from now on for a host whose restart is reported very late.
Micros HostRegistry::effective_start(const Host& host, const HostEntry& entry, bool created) const {
    const auto departed = departed_.find(entry.host);
    const bool known = !created || departed != departed_.end();
    const Micros previous_report = created && known ? departed->second.reported_start : host.reported_start;
    if (!created && entry.started == previous_report) return host.entry.started;
    const Micros reported = std::min(entry.started, context_.now());
    const bool restarted = known && entry.started > 0us && entry.started != previous_report;
    return restarted && reported < last_list_at_ - max_start_report_delay ? context_.now() : reported;
}

// Resets the host's state except its number of attempts in flight.
void HostRegistry::reset(Host& host, const std::string& name) {
    slow_start_.remove(host);
    host.load.in_flight = std::exchange(host, Host{}).load.in_flight;
    host.slow_start.considered_at = context_.now();
    host.outlier.silent_since = context_.now();
    host.order_key = name_hash(name + ' ' + std::to_string(context_.settings().rank));
    host.banned = banned_.contains(name);
}

bool HostRegistry::set_banned(const std::string& name, bool banned) {
    const bool changes = banned ? banned_.insert(name).second : banned_.erase(name) > 0;
    if (!changes) return false;
    const Micros slow_start_time = context_.settings().slow_start_time;
    if (!banned && slow_start_time > 0us) unbanned_at_[name] = context_.now();
    std::erase_if(unbanned_at_,
                  [&](const auto& entry) { return context_.since(entry.second) > slow_start_time; });
    Host* const host = find(name);
    if (host == nullptr) return true;
    if (banned) {
        host->banned = true;
    } else {
        const HostEntry entry = host->entry;
        const Micros reported_start = host->reported_start;
        reset(*host, name);
        host->entry = entry;
        host->reported_start = reported_start;
        host->entry.started = std::max(context_.now(), entry.started);
    }
    slow_start_.update(*host);
    return true;
}

bool HostRegistry::has_departed(const Host& host) {
    return host.entry.state == HostState::gone && host.load.in_flight == 0;
}

void HostRegistry::remove_departed() {
    std::erase_if(gone_, [this](const std::string& name) {
        const auto position = hosts_.find(name);
        Host& host = position->second;
        if (!has_departed(host)) return false;
        slow_start_.remove(host);
        order_.erase(host);
        departed_[name] = {host.reported_start, context_.now()};
        hosts_.erase(position);
        return true;
    });
    refresh_order();
}

void HostRegistry::expire_departed() {
    std::erase_if(departed_, [this](const auto& entry) {
        return context_.since(entry.second.left_at) >= departed_lifetime;
    });
}

void HostRegistry::refresh_order() {
    order_.rebuild_front();
    slow_start_.refresh();
}

Host* HostRegistry::find(const std::string& name) {
    const auto position = hosts_.find(name);
    return position == hosts_.end() ? nullptr : &position->second;
}

void HostRegistry::restore(std::map<std::string, Host>&& saved_hosts) {
    for (auto& [name, saved] : saved_hosts) {
        Host* const host = find(name);
        if (host == nullptr) continue;
        saved.entry.started = std::max(saved.entry.started, host->entry.started);
        host->entry.started = saved.entry.started;
        // The list reports a start later than the saved one: the host has restarted, and its saved state no
        // longer applies.
        if (host->reported_start > saved.reported_start) continue;
        saved.entry = host->entry;
        saved.order_key = host->order_key;
        saved.load.in_flight = host->load.in_flight;
        slow_start_.remove(*host);
        *host = std::move(saved);
        slow_start_.update(*host);
    }
}

void HostRegistry::apply_bans() {
    for (auto& [name, host] : hosts_) {
        host.banned = banned_.contains(name);
        if (host.banned) slow_start_.remove(host);
    }
}

}  // namespace gateway::decision

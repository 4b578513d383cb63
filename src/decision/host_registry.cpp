#include "host_registry.h"

#include <algorithm>
#include <utility>

#include "name_hash.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr Micros max_start_report_delay = 30s;  // a host's start is reported no later than this
constexpr Micros departed_lifetime = 10min;     // the start of a host that has left is remembered so long
}  // namespace

void HostRegistry::update(const HostsChanged& change) {
    if (change.complete_list) {
        for (auto& [name, host] : hosts_) {
            host.entry.state = HostState::gone;
            gone_.insert(name);
        }
    }
    for (const HostEntry& entry : change.entries) list(entry);
    if (change.complete_list)
        for (const std::string& name : gone_) slow_start_.update(hosts_.at(name));
    // The first list is the one cached at the start, of any age.
    if (std::exchange(has_list_, true)) last_list_at_ = context_.now();
}

void HostRegistry::list(const HostEntry& entry) {
    auto [position, created] = hosts_.try_emplace(entry.host);
    Host& host = position->second;
    const Micros started = believable_start(host, entry, created);
    if (created || entry.started != host.reported_start) reset(host, entry.host);
    // A host that was put back may have been restarted unnoticed: until the list reports a later start, the
    // time of that counts.
    const auto put_back = put_back_.find(entry.host);
    host.entry = entry;
    host.reported_start = entry.started;
    host.entry.started = put_back == put_back_.end() ? started : std::max(started, put_back->second);
    if (created) order_.insert(host);
    if (host.entry.state == HostState::gone) gone_.insert(entry.host);
    else gone_.erase(entry.host);
    slow_start_.update(host);
}

// A start is reported by a wall clock, which may be stepped. Guards against a host that was seen to restart
// and passes for warm, and one that seems to start in the future; costs a slow start for a start reported
// very late.
Micros HostRegistry::believable_start(const Host& host, const HostEntry& entry, bool created) const {
    const auto departed = departed_.find(entry.host);
    const bool known = !created || departed != departed_.end();
    const Micros former = created && known ? departed->second.reported_start : host.reported_start;
    if (!created && entry.started == former) return host.entry.started;
    const Micros reported = std::min(entry.started, context_.now());
    const bool restarted = known && entry.started > 0us && entry.started != former;
    return restarted && reported < last_list_at_ - max_start_report_delay ? context_.now() : reported;
}

// Forgets all but the attempts in flight.
void HostRegistry::reset(Host& host, const std::string& name) {
    slow_start_.remove(host);
    host.load.in_flight = std::exchange(host, Host{}).load.in_flight;
    host.slow_start.considered_at = context_.now();
    host.outlier.last_response_at = context_.now();
    host.place = name_hash(name + ' ' + std::to_string(context_.settings().rank));
    host.banned = banned_.contains(name);
}

bool HostRegistry::set_banned(const std::string& name, bool banned) {
    const bool changes = banned ? banned_.insert(name).second : banned_.erase(name) > 0;
    if (!changes) return false;
    const Micros slow_start_time = context_.settings().slow_start_time;
    if (!banned && slow_start_time > 0us) put_back_[name] = context_.now();
    std::erase_if(put_back_,
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
    order_.restart();
    slow_start_.refresh();
}

Host* HostRegistry::find(const std::string& name) {
    const auto position = hosts_.find(name);
    return position == hosts_.end() ? nullptr : &position->second;
}

void HostRegistry::restore(std::map<std::string, Host>&& former) {
    for (auto& [name, seen] : former) {
        Host* const host = find(name);
        if (host == nullptr) continue;
        seen.entry.started = std::max(seen.entry.started, host->entry.started);
        host->entry.started = seen.entry.started;
        // A host that the list here reports to have restarted since is another one.
        if (host->reported_start > seen.reported_start) continue;
        seen.entry = host->entry;
        seen.place = host->place;
        seen.load.in_flight = host->load.in_flight;
        slow_start_.remove(*host);
        *host = std::move(seen);
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

#include "host_manager.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "load_report.h"
#include "log.h"
#include "outcome.h"

namespace gateway::server {
namespace {

decision::HostState to_host_state(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return decision::HostState::up;
        case EndpointState::draining:
            return decision::HostState::draining;
        case EndpointState::gone:
            break;
    }
    return decision::HostState::gone;
}

void log_endpoint_list(const EndpointList& list) {
    LogLine(LogLevel::info, "endpoint_list_received")
        .with("revision", list.version)
        .with("complete", list.complete ? "yes" : "no")
        .with("hosts", static_cast<std::int64_t>(list.endpoints.size()));
    if (!logs(LogLevel::debug)) return;
    for (const Endpoint& endpoint : list.endpoints)
        LogLine(LogLevel::debug, "endpoint_received")
            .with("host", endpoint.uid)
            .with("state", to_string(endpoint.state))
            .with("boot_ms", endpoint.boot_ms);
}

decision::HostsChanged to_event(const EndpointList& list) {
    decision::HostsChanged event;
    event.complete_list = list.complete;
    for (const Endpoint& endpoint : list.endpoints)
        event.entries.push_back({endpoint.uid, endpoint.zone, endpoint.kind, endpoint.cell,
                                 to_host_state(endpoint.state), endpoint.weight,
                                 std::chrono::milliseconds(endpoint.boot_ms)});
    return event;
}
}  // namespace

HostManager::HostManager(decision::RuleGuard& guard, EventDispatcher& dispatcher, HostPool& pool)
    : guard_(guard), dispatcher_(dispatcher), pool_(pool) {}

void HostManager::on_discovery_list(const EndpointList& list) {
    discovery_has_answered_ = true;
    apply(list);
}

void HostManager::on_predecessor_list(const EndpointList& list) {
    if (!discovery_has_answered_) apply(list);
}

EndpointList HostManager::current_list() const {
    EndpointList list;
    list.version = version_;
    list.complete = true;
    for (const auto& [uid, endpoint] : endpoints_) list.endpoints.push_back(endpoint);
    return list;
}

void HostManager::merge(const EndpointList& list) {
    version_ = list.version;
    const std::map<std::string, Endpoint> earlier =
        list.complete ? std::exchange(endpoints_, {}) : std::map<std::string, Endpoint>();
    for (const Endpoint& endpoint : list.endpoints) {
        has_withdrawn_host_ = has_withdrawn_host_ || endpoint.state != EndpointState::ready;
        if (endpoint.state == EndpointState::gone) endpoints_.erase(endpoint.uid);
        else endpoints_.insert_or_assign(endpoint.uid, endpoint);
    }
    const auto is_unlisted = [this](const auto& entry) { return !endpoints_.contains(entry.first); };
    has_withdrawn_host_ = has_withdrawn_host_ || std::any_of(earlier.begin(), earlier.end(), is_unlisted);
}

void HostManager::apply(const EndpointList& list) {
    if (!list.complete && list.endpoints.empty()) return;  // a watch whose hold time ended without a change
    merge(list);
    track(list);
    decision::HostsChanged event = to_event(list);
    guard_.hosts_changed(event);
    log_endpoint_list(list);
    // Queues the event ahead of the results of the attempts that the pool ends, so that the decision module
    // handles the change first. By the time the module handles it, the pool has applied the list.
    dispatcher_.dispatch_before(std::move(event), [&] { pool_.update(list); });
}

void HostManager::track(const EndpointList& list) {
    if (list.complete) ready_hosts_.clear();
    std::unordered_set<std::string_view> listed;
    for (const Endpoint& endpoint : list.endpoints) {
        listed.insert(endpoint.uid);
        if (endpoint.state == EndpointState::ready) ready_hosts_.insert(endpoint.uid);
        else ready_hosts_.erase(endpoint.uid);
        known_names_.add(endpoint.uid);
        if (endpoint.state == EndpointState::gone) known_names_.mark_gone(endpoint.uid, Steady::now());
    }
    if (list.complete) known_names_.mark_unlisted_gone(listed, Steady::now());
    known_names_.remove_expired(Steady::now(), pool_.banned());
}

void HostManager::on_health_check_ended(const std::string& uid, HostResult&& result) {
    decision::HealthCheckEnded event{uid, to_decision_outcome(result.outcome), result.elapsed, {}};
    if (result.outcome == HostOutcome::success)
        event.report =
            read_load_report(result.load_report.empty() ? result.answer.body() : result.load_report);
    dispatcher_.dispatch(std::move(event));
}

void HostManager::set_banned(const std::string& uid, bool banned) {
    const decision::HostBanned event{uid, banned};
    LogLine(LogLevel::info, banned ? "host_banned" : "host_unbanned").with("host", uid);
    guard_.host_banned(event);
    dispatcher_.dispatch_before(event, [&] { pool_.ban(uid, banned); });
}

}  // namespace gateway::server

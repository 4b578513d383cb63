#include "gateway/rule_guard.h"

namespace gateway::decision {
namespace {
// An answer is lost from then on; before, it only earns nothing.
constexpr Micros lost_after = std::chrono::milliseconds(500);

bool crosses_an_end(SendVerdict verdict) {
    return verdict == SendVerdict::already_completed || verdict == SendVerdict::expired;
}
}  // namespace

std::uint64_t RuleGuard::Violations::total() const {
    std::uint64_t sum = refusals + late_answers + unanswered;
    for (std::size_t verdict = 0; verdict < send_verdict_count; ++verdict)
        if (!crosses_an_end(static_cast<SendVerdict>(verdict))) sum += sends[verdict];
    return sum;
}

void RuleGuard::hosts_changed(const HostsChanged& change) {
    if (change.complete_list)
        for (auto& [name, host] : hosts_) host.leaving = true;
    for (const HostEntry& entry : change.entries) {
        ListedHost& host = hosts_[entry.host];
        host.zone = entry.zone;
        host.cell = entry.cell;
        host.leaving = entry.state != HostState::up;
    }
    // A host that nobody has listed may not be sent to either, so those that have left need no memory.
    std::erase_if(hosts_, [](const auto& host) { return host.second.leaving && !host.second.banned; });
}
void RuleGuard::host_banned(const HostBanned& ban) { hosts_[ban.host].banned = ban.banned; }

void RuleGuard::request_arrived(RequestId id, int request_class, Micros deadline) {
    requests_[id] = {request_class, deadline, {}, false};
}

SendVerdict RuleGuard::judge(const Tracked* request, const ListedHost* host, Micros now) const {
    if (request == nullptr || request->over) return SendVerdict::already_completed;
    if (now >= request->deadline) return SendVerdict::expired;
    if (host == nullptr || host->leaving || host->banned) return SendVerdict::host_draining;
    const RequestClass& request_class = settings_.classes[static_cast<std::size_t>(request->request_class)];
    return rules_.check_send(request_class, request->history, {host->zone, host->cell}, now);
}
SendVerdict RuleGuard::begin_attempt(RequestId id, int number, const std::string& host, Micros now) {
    const auto request = requests_.find(id);
    const auto listed = hosts_.find(host);
    Tracked* const tracked = request == requests_.end() ? nullptr : &request->second;
    const SendVerdict verdict = judge(tracked, listed == hosts_.end() ? nullptr : &listed->second, now);
    if (verdict == SendVerdict::allowed)
        tracked->history.begin_attempt(number, {listed->second.zone, listed->second.cell}, now);
    else ++violations_.sends[static_cast<std::size_t>(verdict)];
    return verdict;
}
void RuleGuard::attempt_ended(RequestId id, int attempt, Outcome outcome) {
    if (const auto request = requests_.find(id); request != requests_.end())
        request->second.history.end_attempt(attempt, outcome);
}

bool RuleGuard::may_refuse(RequestId id) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return true;
    const RequestClass& request_class =
        settings_.classes[static_cast<std::size_t>(request->second.request_class)];
    const bool may = rules_.may_refuse(request_class, request->second.history);
    if (!may) ++violations_.refusals;
    return may;
}
void RuleGuard::answered(RequestId id, Micros now) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return;
    if (!request->second.over && now >= request->second.deadline + lost_after) ++violations_.late_answers;
    request->second.over = true;
}
void RuleGuard::client_left(RequestId id) {
    if (const auto request = requests_.find(id); request != requests_.end()) request->second.over = true;
}

}  // namespace gateway::decision

#include "gateway/rule_guard.h"

namespace gateway::decision {
namespace {
// An answer that is later than the deadline by at least this time counts as lost and is a violation. An
// answer that is less late only earns no weight.
constexpr Micros late_answer_tolerance = std::chrono::milliseconds(500);

// Whether the verdict means that the request ended before the decision to send was carried out.
bool request_has_ended(SendVerdict verdict) {
    return verdict == SendVerdict::already_completed || verdict == SendVerdict::expired;
}
}  // namespace

std::uint64_t RuleGuard::Violations::total() const {
    std::uint64_t sum = rejections + late_answers + unanswered;
    for (std::size_t verdict = 0; verdict < send_verdict_count; ++verdict)
        if (!request_has_ended(static_cast<SendVerdict>(verdict))) sum += sends[verdict];
    return sum;
}

void RuleGuard::hosts_changed(const HostsChanged& change) {
    if (change.complete_list)
        for (auto& [name, host] : hosts_) host.draining = true;
    for (const HostEntry& entry : change.entries) {
        ListedHost& host = hosts_[entry.host];
        host.zone = entry.zone;
        host.cell = entry.cell;
        host.draining = entry.state != HostState::up;
    }
    // Sending to a host that is not listed is forbidden as well, so draining hosts need no entry unless they
    // are banned.
    std::erase_if(hosts_, [](const auto& host) { return host.second.draining && !host.second.banned; });
}

void RuleGuard::host_banned(const HostBanned& ban) { hosts_[ban.host].banned = ban.banned; }

void RuleGuard::request_arrived(RequestId id, int request_class, Micros deadline) {
    requests_[id] = {request_class, deadline, {}, false};
}

RuleGuard::TrackedRequest* RuleGuard::find(RequestId id) {
    const auto request = requests_.find(id);
    return request == requests_.end() ? nullptr : &request->second;
}

const RequestClass& RuleGuard::class_of(const TrackedRequest& request) const {
    return settings_.classes[static_cast<std::size_t>(request.request_class)];
}

SendVerdict RuleGuard::check(const TrackedRequest* request, const ListedHost* host, Micros now) const {
    if (request == nullptr || request->completed) return SendVerdict::already_completed;
    if (now >= request->deadline) return SendVerdict::expired;
    if (host == nullptr || host->draining || host->banned) return SendVerdict::host_draining;
    return rules_.check_send(class_of(*request), request->history, {host->zone, host->cell}, now);
}

SendVerdict RuleGuard::begin_attempt(RequestId id, int number, const std::string& host, Micros now) {
    TrackedRequest* const request = find(id);
    const auto position = hosts_.find(host);
    const ListedHost* const listed = position == hosts_.end() ? nullptr : &position->second;
    const SendVerdict verdict = check(request, listed, now);
    if (verdict == SendVerdict::allowed)
        request->history.begin_attempt(number, {listed->zone, listed->cell}, now);
    else ++violations_.sends[static_cast<std::size_t>(verdict)];
    return verdict;
}

void RuleGuard::attempt_ended(RequestId id, int attempt, Outcome outcome) {
    if (TrackedRequest* const request = find(id)) request->history.end_attempt(attempt, outcome);
}

bool RuleGuard::may_reject(RequestId id) {
    const TrackedRequest* const request = find(id);
    if (request == nullptr) return true;
    const bool allowed = RequestRules::may_reject(class_of(*request), request->history);
    if (!allowed) ++violations_.rejections;
    return allowed;
}

void RuleGuard::answered(RequestId id, Micros now) {
    TrackedRequest* const request = find(id);
    if (request == nullptr) return;
    if (!request->completed && now >= request->deadline + late_answer_tolerance) ++violations_.late_answers;
    request->completed = true;
}

void RuleGuard::client_disconnected(RequestId id) {
    if (TrackedRequest* const request = find(id)) request->completed = true;
}

}  // namespace gateway::decision

#include "oracle.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "text.h"

namespace fault_soak {
namespace {
constexpr std::array rule_names{"lost",        "duplicate",       "drain",         "refusal",
                                "after_leave", "wrong_answer",    "told_too_long", "crash",
                                "not_ready",   "bad_client_kept", "cold_host",     "own_guard"};
// Every limit of the protocol is 50 ms longer on sockets; a gateway may be held up between its clock and its
// write.
constexpr Span socket_slack = 50ms, held_up = 150ms;
constexpr Span lost_after = 500ms;         // beyond the client's time
constexpr Span leave_grace = 100ms;        // an attempt may begin so long after its client has left
constexpr Span told_slack = 150ms;         // of the time that an attempt tells
constexpr Span accept_after_term = 700ms;  // requests that come later may be found unanswered by SIGKILL
constexpr Span ready_within = 10s;
constexpr Span kill_takes = 50ms;  // from the signal until no connection of the process takes anything
constexpr unsigned ok = 200, too_many = 429, unavailable = 503;

// What a host in slow start bears beyond its budget of calls is put down to chance.
double with_chance(double budget) {
    return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}
}  // namespace

const char* name_of(Rule rule) { return rule_names[static_cast<std::size_t>(rule)]; }

Oracle::Oracle(RuleTerms terms, int gateways, int hosts)
    : terms_(terms), gateways_(static_cast<std::size_t>(gateways)), hosts_(static_cast<std::size_t>(hosts)) {
    for (HostLife& host : hosts_) {
        host.told.resize(gateways_.size());
        host.banned.resize(gateways_.size());
    }
}

void Oracle::violate(Rule rule, const std::string& trace, const std::string& text, Time at) {
    violations_.push_back({rule, at, trace, text});
}
void Oracle::note(Request& request, Time at, std::string text) {
    request.events.emplace_back(at, std::move(text));
}

// ---- gateways ----

void Oracle::gateway_started(int gateway, Time at) {
    GatewayLife& life = gateways_[static_cast<std::size_t>(gateway)];
    life.started = at;
    life.asked_to_end.reset();
}
void Oracle::gateway_ready(int gateway, Time at) {
    const auto& started = gateways_[static_cast<std::size_t>(gateway)].started;
    if (started && at - *started > ready_within + terms_.slack)
        violate(Rule::not_ready, "", concat("gateway ", gateway), at);
}
void Oracle::gateway_asked_to_end(int gateway, Time at) {
    gateways_[static_cast<std::size_t>(gateway)].asked_to_end = at;
}
void Oracle::gateway_killed(int gateway, Time at) {
    gateways_[static_cast<std::size_t>(gateway)].killed.push_back(at);
}
void Oracle::gateway_ended(int gateway, Time at, bool expected) {
    GatewayLife& life = gateways_[static_cast<std::size_t>(gateway)];
    if (!expected) violate(Rule::crash, "", concat("gateway ", gateway, " ended unasked"), at);
    if (life.asked_to_end) life.endings.emplace_back(*life.asked_to_end, at);
}

// ---- discovery ----

void Oracle::host_leaves(int host, Time at) {
    HostLife& life = hosts_[static_cast<std::size_t>(host)];
    if (life.leaves) return;
    life.leaves = at;
    std::fill(life.told.begin(), life.told.end(), std::nullopt);
}
void Oracle::host_back(int host, Time at, bool cold) {
    HostLife& life = hosts_[static_cast<std::size_t>(host)];
    life.leaves.reset();
    if (cold) life.cold_since = at;
    life.recent.clear();
}
void Oracle::told(int gateway, Time of, Time at) {
    for (HostLife& host : hosts_) {
        auto& told = host.told[static_cast<std::size_t>(gateway)];
        if (host.leaves && *host.leaves <= of && (!told || at < *told)) told = at;
    }
}

void Oracle::banned(int gateway, int host, std::optional<Time> at) {
    hosts_[static_cast<std::size_t>(host)].banned[static_cast<std::size_t>(gateway)] = at;
}

// ---- clients ----

void Oracle::sent(const std::string& trace, Effect effect, int gateway, Time at, Time deadline) {
    Request& request = requests_[trace];
    request.effect = effect;
    request.gateway = gateway;
    request.sent = at;
    request.deadline = deadline;
    note(request, at, concat("sent to gateway ", gateway));
    ++figures_.requests;
}
void Oracle::sent_again(const std::string& trace, int gateway, Time at) {
    Request& request = requests_[trace];
    request.gateway = gateway;
    request.sent = at;
    request.closed = false;
    note(request, at, concat("sent again, as its connection ended unread, to gateway ", gateway));
}
void Oracle::left(const std::string& trace, Time at) {
    Request& request = requests_[trace];
    request.left = at;
    ++figures_.left;
    note(request, at, "client left");
}
void Oracle::excuse(const std::string& trace, const char* why) {
    Request& request = requests_[trace];
    request.excused = true;
    note(request, Clock::now(), why);
}
void Oracle::closed_unanswered(const std::string& trace, Time at) {
    Request& request = requests_[trace];
    request.closed = true;
    note(request, at, "connection closed with no answer");
}

void Oracle::answered(const std::string& trace, unsigned status, const std::string& body, Time at) {
    Request& request = requests_[trace];
    request.answered = at;
    note(request, at, concat("answered with ", status));
    if (at > request.deadline + lost_after + terms_.slack)
        violate(Rule::lost, trace, "answered over half a second after its time", at);
    if (status == ok) {
        ++figures_.served;
        const bool said =
            std::any_of(request.attempts.begin(), request.attempts.end(),
                        [&](const Attempt& a) { return a.says == HostSays::served && a.body == body; });
        if (!said)
            violate(Rule::wrong_answer, trace, concat("no host has answered with '", body.substr(0, 60), "'"),
                    at);
        return;
    }
    const bool refused = status == too_many || status == unavailable;
    ++(refused ? figures_.refused : figures_.failed);
    if (refused) judge_refusal(trace, request, at);
}
void Oracle::judge_refusal(const std::string& trace, const Request& request, Time at) {
    if (request.effect == Effect::safe) return;
    const bool may_have_run = std::any_of(request.attempts.begin(), request.attempts.end(),
                                          [](const Attempt& a) { return a.says != HostSays::never_ran; });
    if (may_have_run) violate(Rule::refusal, trace, "refused though it may have run", at);
}

// ---- hosts ----

std::size_t Oracle::attempt(const std::string& trace, int gateway, int host, const std::string& zone,
                            Time first_byte, Time at, std::int64_t told_ms) {
    ++figures_.attempts;
    const auto found = requests_.find(trace);
    if (found == requests_.end()) {
        violate(Rule::duplicate, trace, "a request that no client sent", at);
        return 0;
    }
    Request& request = found->second;
    Attempt next{gateway, host, zone, {}, first_byte, at, HostSays::nothing};
    note(request, first_byte, concat("attempt by gateway ", gateway, " at host ", host));
    if (request.left && first_byte > *request.left + leave_grace + terms_.slack)
        violate(Rule::after_leave, trace, "an attempt after its client had left", first_byte);
    const Span left = std::chrono::duration_cast<Span>(request.deadline - first_byte);
    if (told_ms > (std::max(left, Span(0)) + told_slack + terms_.slack).count())
        violate(Rule::told_too_long, trace, concat("told ", told_ms, " ms of ", left.count(), " left"),
                first_byte);
    judge_duplicate(trace, request, next);
    judge_drain(trace, next);
    judge_cold(trace, hosts_[static_cast<std::size_t>(host)], at);
    request.attempts.push_back(next);
    return request.attempts.size() - 1;
}
void Oracle::attempt_answered(const std::string& trace, std::size_t attempt, HostSays says,
                              const std::string& body) {
    const auto found = requests_.find(trace);
    if (found == requests_.end() || attempt >= found->second.attempts.size()) return;
    Attempt& answered = found->second.attempts[attempt];
    answered.says = says;
    answered.body = body;
    constexpr std::array names{"nothing", "served", "failed", "never ran"};
    note(found->second, Clock::now(),
         concat("host ", answered.host, " says ", names[static_cast<std::size_t>(says)]));
}

void Oracle::judge_duplicate(const std::string& trace, Request& request, const Attempt& next) {
    if (request.effect == Effect::safe) return;
    for (const Attempt& earlier : request.attempts) {
        if (earlier.says == HostSays::never_ran) continue;
        const bool known = request.effect == Effect::keyed && earlier.zone == next.zone &&
                           next.first_byte - earlier.first_byte < terms_.repeat_window + terms_.slack;
        if (!known) violate(Rule::duplicate, trace, "a further attempt though it may have run", next.at);
    }
}
void Oracle::judge_drain(const std::string& trace, const Attempt& attempt) {
    const HostLife& host = hosts_[static_cast<std::size_t>(attempt.host)];
    const auto& banned = host.banned[static_cast<std::size_t>(attempt.gateway)];
    const auto& listed = host.told[static_cast<std::size_t>(attempt.gateway)];
    const auto& told = banned ? banned : listed;
    if (!told || (!banned && !host.leaves)) return;
    const Span late = std::chrono::duration_cast<Span>(attempt.first_byte - *told);
    if (late > terms_.drain_grace + socket_slack + held_up + terms_.slack)
        violate(Rule::drain, trace,
                concat("sent to host ", attempt.host, " ", late.count(), " ms after gateway ",
                       attempt.gateway, " was told that it leaves"),
                attempt.first_byte);
}
void Oracle::judge_cold(const std::string& trace, HostLife& host, Time at) {
    if (!host.cold_since || at - *host.cold_since > terms_.cold) return;
    host.recent.push_back(at);
    std::erase_if(host.recent, [&](Time t) { return t < at - terms_.fall; });
    const double age = seconds(at - *host.cold_since) / seconds(terms_.cold);
    const double capacity = terms_.cold_from + (1 - terms_.cold_from) * age;
    const double budget = terms_.overload_factor * capacity * terms_.warm_per_second * seconds(terms_.fall);
    if (static_cast<double>(host.recent.size()) > with_chance(budget))
        violate(Rule::cold_host, trace, concat(host.recent.size(), " requests within its budget's time"), at);
}

// ---- the end ----

// Killed with the request in hand, or ended on request when it came too late to be owed an answer.
bool Oracle::excused_by_gateway(const Request& request) const {
    const GatewayLife& life = gateways_[static_cast<std::size_t>(request.gateway)];
    const Time over = request.deadline + lost_after;
    const bool killed = std::any_of(life.killed.begin(), life.killed.end(),
                                    [&](Time t) { return t + kill_takes >= request.sent && t <= over; });
    const bool late = std::any_of(life.endings.begin(), life.endings.end(), [&](const auto& ending) {
        return request.sent > ending.first + accept_after_term && request.sent <= ending.second + 1s;
    });
    return killed || late;
}

void Oracle::finish() {
    for (auto& [trace, request] : requests_) {
        if (request.answered || request.left) continue;
        if (request.excused || excused_by_gateway(request)) {
            ++figures_.excused;
            continue;
        }
        ++figures_.unanswered;
        violate(Rule::lost, trace,
                request.closed ? "its connection was closed with no answer" : "never answered",
                request.deadline);
    }
}

std::string Oracle::story(const std::string& trace, Time origin) const {
    const auto found = requests_.find(trace);
    if (found == requests_.end()) return {};
    auto events = found->second.events;
    events.emplace_back(found->second.deadline, "(its deadline)");
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string text;
    for (const auto& [at, what] : events) {
        char line[200];
        std::snprintf(line, sizeof line, "    %8.4f s  %s\n", seconds(at - origin), what.c_str());
        text += line;
    }
    return text;
}

}  // namespace fault_soak

#include "oracle.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "text.h"

namespace fault_soak {
namespace {

// Ordered as the enumerators of Invariant.
constexpr std::array invariant_names{"lost",        "duplicate",       "drain",         "refusal",
                                     "after_leave", "wrong_answer",    "told_too_long", "crash",
                                     "not_ready",   "bad_client_kept", "cold_host",     "own_guard"};
// Ordered as the enumerators of Oracle::HostOutcome.
constexpr std::array outcome_names{"nothing", "served", "failed", "never ran"};

// Extension of each time limit of the protocol when it is observed over sockets.
constexpr Duration socket_slack = 50ms;
// A gateway may be delayed by this much between reading the clock and writing to the socket.
constexpr Duration write_delay = 150ms;
// A response that arrives this long after the client's deadline counts as lost.
constexpr Duration lost_after = 500ms;
// An attempt may still begin this long after its client has disconnected.
constexpr Duration disconnect_grace = 100ms;
// The deadline forwarded to a host may exceed the client's by this much.
constexpr Duration deadline_slack = 150ms;
// Requests that are sent later than this after SIGTERM may still be unanswered when SIGKILL comes.
constexpr Duration accept_after_terminate = 700ms;
// Requests that are sent up to this long after the exit may still have reached the process.
constexpr Duration exit_notice = 1s;
constexpr Duration ready_within = 10s;
// Time from SIGKILL until the connections of the process accept no more data.
constexpr Duration kill_delay = 50ms;
constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr std::size_t quoted_body_bytes = 60;
// The time of a longer response is the time of its first byte.
constexpr std::size_t max_short_body_bytes = 64 * 1024;

// Returns a limit that a Poisson-distributed number of attempts with mean `budget` exceeds only rarely.
double poisson_limit(double budget) {
    return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}

}  // namespace

const char* name_of(Invariant invariant) { return invariant_names[static_cast<std::size_t>(invariant)]; }

Oracle::Oracle(OracleSettings settings, int gateways, int hosts)
    : settings_(settings),
      gateways_(static_cast<std::size_t>(gateways)),
      hosts_(static_cast<std::size_t>(hosts)) {
    for (HostHistory& host : hosts_) {
        host.known_since.resize(gateways_.size());
        host.banned.resize(gateways_.size());
    }
}

Oracle::GatewayHistory& Oracle::gateway_history(int gateway) {
    return gateways_[static_cast<std::size_t>(gateway)];
}
Oracle::HostHistory& Oracle::host_history(int host) { return hosts_[static_cast<std::size_t>(host)]; }

void Oracle::report(Invariant invariant, const std::string& trace, const std::string& text, Time at) {
    violations_.push_back({invariant, at, trace, text});
}
void Oracle::record_event(Request& request, Time at, std::string text) {
    request.events.emplace_back(at, std::move(text));
}

void Oracle::gateway_started(int gateway, Time at) {
    GatewayHistory& history = gateway_history(gateway);
    history.started = at;
    history.terminated.reset();
}
void Oracle::gateway_ready(int gateway, Time at) {
    const auto& started = gateway_history(gateway).started;
    if (started && at - *started > ready_within + settings_.slack)
        report(Invariant::ready_in_time, "", concat("start took too long: gateway ", gateway), at);
}
void Oracle::gateway_terminated(int gateway, Time at) { gateway_history(gateway).terminated = at; }
void Oracle::gateway_killed(int gateway, Time at) { gateway_history(gateway).kills.push_back(at); }
void Oracle::gateway_exited(int gateway, Time at, bool expected) {
    GatewayHistory& history = gateway_history(gateway);
    if (!expected) report(Invariant::no_crash, "", concat("gateway ", gateway, " exited unexpectedly"), at);
    if (history.terminated) history.shutdowns.emplace_back(*history.terminated, at);
}

void Oracle::host_withdrawn(int host, Time at) {
    HostHistory& history = host_history(host);
    if (history.withdrawn) return;
    history.withdrawn = at;
    std::fill(history.known_since.begin(), history.known_since.end(), std::nullopt);
}
void Oracle::host_returned(int host, Time at, bool restarted) {
    HostHistory& history = host_history(host);
    history.withdrawn.reset();
    if (restarted) history.slow_start = at;
    history.recent_attempts.clear();
}
void Oracle::list_delivered(int gateway, Time list_time, Time at) {
    for (HostHistory& host : hosts_) {
        auto& known_since = host.known_since[static_cast<std::size_t>(gateway)];
        if (host.withdrawn && *host.withdrawn <= list_time && (!known_since || at < *known_since))
            known_since = at;
    }
}
void Oracle::host_banned(int gateway, int host, std::optional<Time> at) {
    host_history(host).banned[static_cast<std::size_t>(gateway)] = at;
}

void Oracle::request_sent(const std::string& trace, Idempotency idempotency, int gateway, Time at,
                          Time deadline) {
    Request& request = requests_[trace];
    request.idempotency = idempotency;
    request.gateway = gateway;
    request.sent = at;
    request.deadline = deadline;
    record_event(request, at, concat("sent to gateway ", gateway));
    ++counts_.requests;
}
void Oracle::request_resent(const std::string& trace, int gateway, Time at) {
    Request& request = requests_[trace];
    request.gateway = gateway;
    request.sent = at;
    request.closed = false;
    record_event(
        request, at,
        concat("resent because its connection closed before the request was read, to gateway ", gateway));
}
void Oracle::client_disconnected(const std::string& trace, Time at) {
    Request& request = requests_[trace];
    request.disconnected = at;
    ++counts_.disconnected;
    record_event(request, at, "client disconnected");
}
void Oracle::excuse(const std::string& trace, const char* reason) {
    Request& request = requests_[trace];
    request.excused = true;
    record_event(request, Clock::now(), reason);
}
void Oracle::closed_unanswered(const std::string& trace, Time at, bool read) {
    Request& request = requests_[trace];
    request.closed = true;
    request.read_before_close = read;
    record_event(request, at, "connection closed without a response");
}

void Oracle::response_received(const std::string& trace, unsigned status, const std::string& body,
                               Time first_byte_at, Time at) {
    Request& request = requests_[trace];
    request.answered = at;
    request.served = status == status_ok;
    record_event(request, at, concat("answered with status ", status, ", ", body.size(), " bytes"));
    // The first bytes of a response over 64 KiB are timed, and of one that broke off after its start.
    const bool starts_in_time = status == 0 || body.size() > max_short_body_bytes;
    if ((starts_in_time ? first_byte_at : at) > request.deadline + lost_after + settings_.slack)
        report(Invariant::request_answered, trace, "answered more than half a second after its deadline", at);
    if (status == status_ok) {
        ++counts_.succeeded;
        check_response(trace, request, body, at);
    } else if (status == status_too_many_requests || status == status_unavailable) {
        ++counts_.rejected;
        check_rejection(trace, request, at);
    } else {
        ++counts_.failed;
    }
}
void Oracle::check_response(const std::string& trace, const Request& request, const std::string& body,
                            Time at) {
    const bool sent_by_a_host =
        std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
            return attempt.outcome == HostOutcome::success && attempt.body == body;
        });
    if (!sent_by_a_host)
        report(Invariant::genuine_response, trace,
               concat("no host sent the response body '", body.substr(0, quoted_body_bytes), "'"), at);
}
void Oracle::check_rejection(const std::string& trace, const Request& request, Time at) {
    if (request.idempotency == Idempotency::idempotent) return;
    const bool may_have_run =
        std::any_of(request.attempts.begin(), request.attempts.end(),
                    [](const Attempt& attempt) { return attempt.outcome != HostOutcome::not_executed; });
    if (may_have_run)
        report(Invariant::safe_rejection, trace, "rejected although it may have been executed", at);
}

std::size_t Oracle::attempt_received(const std::string& trace, int gateway, int host, const std::string& zone,
                                     Time first_byte_at, Time at, std::int64_t forwarded_ms) {
    ++counts_.attempts;
    const auto found = requests_.find(trace);
    if (found == requests_.end()) {
        report(Invariant::no_duplicate, trace, "a host received a request that no client sent", at);
        return 0;
    }
    Request& request = found->second;
    const Attempt attempt{gateway, host, zone, {}, first_byte_at, at, HostOutcome::no_response, {}};
    record_event(request, first_byte_at, concat("attempt by gateway ", gateway, " at host ", host));
    check_disconnect(trace, request, attempt);
    check_deadline(trace, request, attempt, forwarded_ms);
    check_duplicate(trace, request, attempt);
    check_drain(trace, attempt);
    check_slow_start(trace, host_history(host), at);
    request.attempts.push_back(attempt);
    return request.attempts.size() - 1;
}
void Oracle::attempt_ended(const std::string& trace, std::size_t attempt, HostOutcome outcome,
                           const std::string& body) {
    const auto found = requests_.find(trace);
    if (found == requests_.end() || attempt >= found->second.attempts.size()) return;
    Attempt& ended = found->second.attempts[attempt];
    ended.outcome = outcome;
    ended.body = body;
    record_event(found->second, Clock::now(),
                 concat("host ", ended.host,
                        " reports the outcome: ", outcome_names[static_cast<std::size_t>(outcome)]));
}

void Oracle::response_cut_off(const std::string& trace, std::size_t attempt, Time head_at, Time at) {
    const auto found = requests_.find(trace);
    if (found == requests_.end() || attempt >= found->second.attempts.size()) return;
    found->second.attempts[attempt].cut_off.emplace(head_at, at);
    record_event(found->second, at,
                 concat("gateway closed the connection while host ", found->second.attempts[attempt].host,
                        " was writing"));
}

void Oracle::check_disconnect(const std::string& trace, const Request& request, const Attempt& attempt) {
    if (!request.disconnected) return;
    if (attempt.first_byte_at > *request.disconnected + disconnect_grace + settings_.slack)
        report(Invariant::disconnect_honoured, trace, "attempt sent after its client had disconnected",
               attempt.first_byte_at);
}
void Oracle::check_deadline(const std::string& trace, const Request& request, const Attempt& attempt,
                            std::int64_t forwarded_ms) {
    const auto time_left = std::chrono::duration_cast<Duration>(request.deadline - attempt.first_byte_at);
    if (forwarded_ms > (std::max(time_left, Duration(0)) + deadline_slack + settings_.slack).count())
        report(Invariant::deadline_forwarded, trace,
               concat("forwarded ", forwarded_ms, " ms to the host with ", time_left.count(),
                      " ms left until the deadline"),
               attempt.first_byte_at);
}
void Oracle::check_duplicate(const std::string& trace, const Request& request, const Attempt& attempt) {
    if (request.idempotency == Idempotency::idempotent) return;
    for (const Attempt& earlier : request.attempts) {
        if (earlier.outcome == HostOutcome::not_executed) continue;
        const bool deduplicated =
            request.idempotency == Idempotency::with_key && earlier.zone == attempt.zone &&
            attempt.first_byte_at - earlier.first_byte_at < settings_.deduplication_window + settings_.slack;
        if (!deduplicated)
            report(Invariant::no_duplicate, trace,
                   "another attempt although an earlier one may have been executed", attempt.received);
    }
}
void Oracle::check_drain(const std::string& trace, const Attempt& attempt) {
    const HostHistory& host = host_history(attempt.host);
    const auto& banned = host.banned[static_cast<std::size_t>(attempt.gateway)];
    const auto& withdrawal_known_since = host.known_since[static_cast<std::size_t>(attempt.gateway)];
    const auto& known_since = banned ? banned : withdrawal_known_since;
    if (!known_since || (!banned && !host.withdrawn)) return;
    const auto elapsed = std::chrono::duration_cast<Duration>(attempt.first_byte_at - *known_since);
    if (elapsed > settings_.drain_grace + socket_slack + write_delay + settings_.slack)
        report(Invariant::drain_respected, trace,
               concat("sent to host ", attempt.host, " ", elapsed.count(), " ms after gateway ",
                      attempt.gateway, " learned that the host is draining, gone or banned"),
               attempt.first_byte_at);
}
void Oracle::check_slow_start(const std::string& trace, HostHistory& host, Time at) {
    if (!host.slow_start || at - *host.slow_start > settings_.slow_start_time) return;
    host.recent_attempts.push_back(at);
    std::erase_if(host.recent_attempts, [&](Time attempt) { return attempt < at - settings_.overload_time; });
    const double progress = seconds(at - *host.slow_start) / seconds(settings_.slow_start_time);
    const double capacity = settings_.slow_start_capacity + (1 - settings_.slow_start_capacity) * progress;
    const double budget = settings_.overload_multiple * capacity * settings_.full_requests_per_second *
                          seconds(settings_.overload_time);
    if (static_cast<double>(host.recent_attempts.size()) > poisson_limit(budget))
        report(Invariant::slow_start_budget, trace,
               concat(host.recent_attempts.size(),
                      " attempts within the overload time exceed the slow-start budget"),
               at);
}

bool Oracle::sent_late_in_shutdown(const Request& request) const {
    const GatewayHistory& history = gateways_[static_cast<std::size_t>(request.gateway)];
    return std::any_of(history.shutdowns.begin(), history.shutdowns.end(), [&](const auto& shutdown) {
        const auto& [terminated, exited] = shutdown;
        return request.sent > terminated + accept_after_terminate && request.sent <= exited + exit_notice;
    });
}

// Returns true if the gateway was killed while the request was in flight, or if the request came late in a
// shutdown and the gateway may have closed the connection unread.
bool Oracle::excused_by_gateway(const Request& request) const {
    const GatewayHistory& history = gateways_[static_cast<std::size_t>(request.gateway)];
    const Time lost_at = request.deadline + lost_after;
    const bool killed = std::any_of(history.kills.begin(), history.kills.end(), [&](Time kill) {
        return kill + kill_delay >= request.sent && kill <= lost_at;
    });
    if (sent_late_in_shutdown(request)) return !request.read_before_close;
    return killed;
}

// The response may be cut off by SIGKILL, and if its client has disconnected or has another attempt's
// response.
void Oracle::check_cut_off(const std::string& trace, const Request& request) {
    if (request.served || request.disconnected || request.excused) return;
    const GatewayHistory& history = gateways_[static_cast<std::size_t>(request.gateway)];
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.cut_off) continue;
        const auto [head_at, at] = *attempt.cut_off;
        const bool killed = std::any_of(history.kills.begin(), history.kills.end(), [&](Time kill) {
            return kill >= head_at && kill <= at + kill_delay;
        });
        if (!killed && head_at + socket_slack + settings_.slack <= request.deadline)
            report(Invariant::request_answered, trace, "a sound response was cut off", at);
    }
}

void Oracle::finish() {
    for (auto& [trace, request] : requests_) {
        check_cut_off(trace, request);
        if (request.answered || request.disconnected) continue;
        if (request.excused || excused_by_gateway(request)) {
            ++counts_.excused;
            continue;
        }
        ++counts_.unanswered;
        report(Invariant::request_answered, trace,
               request.closed ? "its connection was closed without a response" : "no response was received",
               request.deadline);
    }
}

std::string Oracle::trace_text(const std::string& trace, Time origin) const {
    const auto found = requests_.find(trace);
    if (found == requests_.end()) return {};
    auto events = found->second.events;
    events.emplace_back(found->second.deadline, "(deadline of the client)");
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::string text;
    for (const auto& [at, event] : events) {
        char line[200];
        std::snprintf(line, sizeof line, "    %8.4f s  %s\n", seconds(at - origin), event.c_str());
        text += line;
    }
    return text;
}

}  // namespace fault_soak

#include "gateway/request_rules.h"

#include <algorithm>

namespace gateway::decision {
namespace {
// Whether a host shares its store of idempotency keys with the host of the earlier attempt.
bool in_scope(DeduplicationScope scope, const HostLocation& location,
              const RequestHistory::Attempt& earlier) {
    switch (scope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return location.zone == earlier.zone;
        case DeduplicationScope::cell:
            return location.cell == earlier.cell;
    }
    return false;
}
}  // namespace

bool proves_not_executed(Outcome outcome) {
    return outcome == Outcome::rejected || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

void RequestHistory::end_attempt(int number, Outcome outcome) {
    const auto ended = std::find_if(attempts_.begin(), attempts_.end(),
                                    [number](const Attempt& attempt) { return attempt.number == number; });
    if (ended == attempts_.end() || !ended->in_flight) return;
    ended->in_flight = false;
    ended->not_executed = proves_not_executed(outcome);
}
int RequestHistory::in_flight() const {
    return static_cast<int>(std::count_if(attempts_.begin(), attempts_.end(),
                                          [](const Attempt& attempt) { return attempt.in_flight; }));
}
bool RequestHistory::may_have_run() const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const Attempt& attempt) { return !attempt.not_executed; });
}

const char* to_string(SendVerdict verdict) {
    switch (verdict) {
        case SendVerdict::allowed:
            return "allowed";
        case SendVerdict::attempts_exhausted:
            return "attempts_exhausted";
        case SendVerdict::may_have_run:
            return "may_have_run";
        case SendVerdict::outside_deduplication_scope:
            return "outside_deduplication_scope";
        case SendVerdict::outside_deduplication_window:
            return "outside_deduplication_window";
        case SendVerdict::hedge_not_allowed:
            return "hedge_not_allowed";
        case SendVerdict::already_completed:
            return "already_completed";
        case SendVerdict::expired:
            return "expired";
        case SendVerdict::host_draining:
            return "host_draining";
    }
    return "unknown";
}

SendVerdict RequestRules::check_send(const RequestClass& request_class, const RequestHistory& history,
                                     const HostLocation& location, Micros now) const {
    const auto& attempts = history.attempts();
    if (history.count() >= settings_.max_attempts) return SendVerdict::attempts_exhausted;
    if (history.in_flight() > 0 && !settings_.may_hedge) return SendVerdict::hedge_not_allowed;
    if (request_class.idempotency == Idempotency::idempotent) return SendVerdict::allowed;
    for (const RequestHistory::Attempt& earlier : attempts) {
        if (earlier.not_executed) continue;
        const SendVerdict verdict = check_retry(request_class, earlier, location, now);
        if (verdict != SendVerdict::allowed) return verdict;
    }
    return SendVerdict::allowed;
}

// Connecting can delay the retry by up to the connect timeout. Hosts must still store the idempotency key of
// the earlier attempt at that time.
SendVerdict RequestRules::check_retry(const RequestClass& request_class,
                                      const RequestHistory::Attempt& earlier, const HostLocation& location,
                                      Micros now) const {
    if (request_class.idempotency == Idempotency::not_idempotent) return SendVerdict::may_have_run;
    if (now + settings_.connect_timeout - earlier.sent >= request_class.deduplication_window)
        return SendVerdict::outside_deduplication_window;
    return in_scope(request_class.deduplication_scope, location, earlier)
               ? SendVerdict::allowed
               : SendVerdict::outside_deduplication_scope;
}

std::optional<Micros> RequestRules::latest_delivery(const RequestClass& request_class,
                                                    const RequestHistory& history) {
    std::optional<Micros> latest;
    if (request_class.idempotency != Idempotency::with_key) return latest;
    for (const RequestHistory::Attempt& earlier : history.attempts()) {
        if (earlier.not_executed) continue;
        const Micros window_end = earlier.sent + request_class.deduplication_window;
        latest = std::min(latest.value_or(window_end), window_end);
    }
    return latest;
}

bool RequestRules::may_reject(const RequestClass& request_class, const RequestHistory& history) {
    if (request_class.idempotency == Idempotency::idempotent || !history.may_have_run()) return true;
    return request_class.idempotency == Idempotency::with_key &&
           request_class.deduplication_scope == DeduplicationScope::all && history.in_flight() == 0;
}

}  // namespace gateway::decision

#include "gateway/request_rules.h"

#include <algorithm>

namespace gateway::decision {

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::moot;
}

void RequestHistory::end_attempt(int number, Outcome outcome) {
    const auto ended = std::find_if(attempts_.begin(), attempts_.end(),
                                    [number](const Attempt& a) { return a.number == number; });
    if (ended == attempts_.end() || !ended->out) return;
    ended->out = false;
    ended->never_ran = proves_never_ran(outcome);
}
int RequestHistory::out() const {
    return static_cast<int>(
        std::count_if(attempts_.begin(), attempts_.end(), [](const Attempt& a) { return a.out; }));
}
bool RequestHistory::may_have_run() const {
    return std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& a) { return !a.never_ran; });
}

const char* name_of(SendVerdict verdict) {
    switch (verdict) {
        case SendVerdict::allowed:
            return "allowed";
        case SendVerdict::attempts_spent:
            return "attempts_spent";
        case SendVerdict::ran_already:
            return "ran_already";
        case SendVerdict::outside_group:
            return "outside_group";
        case SendVerdict::outside_window:
            return "outside_window";
        case SendVerdict::second_copy:
            return "second_copy";
        case SendVerdict::already_answered:
            return "already_answered";
        case SendVerdict::expired:
            return "expired";
        case SendVerdict::host_leaving:
            return "host_leaving";
    }
    return "unknown";
}

SendVerdict RequestRules::judge_send(const RequestClass& request_class, const RequestHistory& history,
                                     const HostPlace& place, Micros now) const {
    const auto& attempts = history.attempts();
    if (history.count() >= settings_.max_attempts) return SendVerdict::attempts_spent;
    if (history.out() > 0 && !settings_.second_copies) return SendVerdict::second_copy;
    if (request_class.effect == Effect::safe) return SendVerdict::allowed;
    for (const RequestHistory::Attempt& earlier : attempts) {
        if (earlier.never_ran) continue;
        const SendVerdict verdict = judge_repeat(request_class, earlier, place, now);
        if (verdict != SendVerdict::allowed) return verdict;
    }
    return SendVerdict::allowed;
}

// A connection that comes up late brings the repeat later by the connect time: hosts have to know the earlier
// attempt then still.
SendVerdict RequestRules::judge_repeat(const RequestClass& request_class,
                                       const RequestHistory::Attempt& earlier, const HostPlace& place,
                                       Micros now) const {
    if (request_class.effect == Effect::unsafe) return SendVerdict::ran_already;
    if (now + settings_.connect_time - earlier.sent >= request_class.repeat_window)
        return SendVerdict::outside_window;
    const bool in_group = request_class.repeat_scope == RepeatScope::all ||
                          (request_class.repeat_scope == RepeatScope::zone ? place.zone == earlier.zone
                                                                           : place.cell == earlier.cell);
    return in_group ? SendVerdict::allowed : SendVerdict::outside_group;
}

bool RequestRules::may_refuse(const RequestClass& request_class, const RequestHistory& history) const {
    if (request_class.effect == Effect::safe || !history.may_have_run()) return true;
    return request_class.effect == Effect::keyed && request_class.repeat_scope == RepeatScope::all &&
           history.out() == 0;
}

}  // namespace gateway::decision

// The rules on one request, in one place: whether it may be sent, sent again or refused now.
//
// The gateway's decisions ask here, and the host process asks here again before it carries a decision out,
// with a history of its own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/interface.h"

namespace gateway::decision {

// What hosts share their memory of keyed requests by.
struct HostPlace {
    std::string_view zone;
    std::int64_t cell = 0;
};

// The attempts of one request, and what became of them.
class RequestHistory {
  public:
    struct Attempt {
        int number = 0;
        Micros sent{0};
        std::string zone;  // of its host, as the cell
        std::int64_t cell = 0;
        bool out = true;
        bool never_ran = false;  // proved by its outcome
    };

    void begin_attempt(int number, const HostPlace& place, Micros now) {
        attempts_.push_back({number, now, std::string(place.zone), place.cell});
    }
    // Does nothing for an attempt that has ended or never begun.
    void end_attempt(int number, Outcome outcome);
    const std::vector<Attempt>& attempts() const { return attempts_; }
    int count() const { return static_cast<int>(attempts_.size()); }
    int out() const;
    // One that is out counts, too.
    bool may_have_run() const;

  private:
    std::vector<Attempt> attempts_;
};

// Whether an outcome proves that the attempt never ran at its host.
bool proves_never_ran(Outcome outcome);

enum class SendVerdict {
    allowed,
    attempts_spent,    // as many as the settings allow
    ran_already,       // an unsafe request may have run
    outside_group,     // a keyed request may have run at a host whose memory this one does not share
    outside_window,    // a keyed request may come when hosts have forgotten it
    second_copy,       // the settings allow no two attempts at once
    already_answered,  // the request has its final answer, or its client has left
    expired,           // the client's time is over
    host_leaving,      // the host drains, is gone or was taken out
};
constexpr std::size_t send_verdicts = 9;
const char* name_of(SendVerdict verdict);

class RequestRules {
  public:
    explicit RequestRules(const Settings& settings) : settings_(settings) {}

    // Whether an attempt at a host there may begin now.
    SendVerdict judge_send(const RequestClass& request_class, const RequestHistory& history,
                           const HostPlace& place, Micros now) const;
    // Whether "trying again is harmless" would be true.
    bool may_refuse(const RequestClass& request_class, const RequestHistory& history) const;

  private:
    SendVerdict judge_repeat(const RequestClass& request_class, const RequestHistory::Attempt& earlier,
                             const HostPlace& place, Micros now) const;

    const Settings& settings_;
};

}  // namespace gateway::decision

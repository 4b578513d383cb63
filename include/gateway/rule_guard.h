// Watches over what the host process is about to do with each request, apart from the decisions that led
// there.
//
// It is told of what happens on the sockets and asked before anything is sent or refused. What it does not
// allow is not done, and counted: each count above zero is a fault of this program.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "gateway/interface.h"
#include "gateway/request_rules.h"

namespace gateway::decision {

class RuleGuard {
  public:
    struct Violations {
        std::array<std::uint64_t, send_verdict_count> sends{};  // that were not allowed, by SendVerdict
        std::uint64_t refusals = 0;                             // of a request that may have run
        std::uint64_t late_answers = 0;  // half a second after the client's time, or later
        std::uint64_t unanswered = 0;    // a request in hand whose connection was closed here
        // Faults of this program. A decision may cross the end of its request, so that a send for one that is
        // answered or expired is held back here in good order: those do not count.
        std::uint64_t total() const;
    };

    explicit RuleGuard(const Settings& settings) : settings_(settings), rules_(settings_) {}
    RuleGuard(const RuleGuard&) = delete;
    RuleGuard& operator=(const RuleGuard&) = delete;

    void hosts_changed(const HostsChanged& change);
    void host_banned(const HostBanned& ban);
    void request_arrived(RequestId id, int request_class, Micros deadline);
    // Whether the next attempt of the request may begin at that host now; where it may, it counts as begun.
    SendVerdict begin_attempt(RequestId id, int number, const std::string& host, Micros now);
    void attempt_ended(RequestId id, int attempt, Outcome outcome);
    // Whether the request may have a refusal as its final answer.
    bool may_refuse(RequestId id);
    // It has its final answer, or its client has left.
    void answered(RequestId id, Micros now);
    void client_left(RequestId id);
    // Its connection is closed by this side before it has an answer.
    void closed_unanswered() { ++violations_.unanswered; }
    // Nothing more is asked about the request.
    void forget(RequestId id) { requests_.erase(id); }
    const Violations& violations() const { return violations_; }

  private:
    struct ListedHost {
        std::string zone;
        std::int64_t cell = 0;
        bool leaving = true, banned = false;  // one that no list has named may not be sent to
    };
    struct Tracked {
        int request_class = 0;
        Micros deadline{0};
        RequestHistory history;
        bool over = false;
    };
    SendVerdict judge(const Tracked* request, const ListedHost* host, Micros now) const;

    const Settings settings_;
    const RequestRules rules_;
    std::unordered_map<std::string, ListedHost> hosts_;
    std::unordered_map<RequestId, Tracked> requests_;
    Violations violations_;
};

}  // namespace gateway::decision

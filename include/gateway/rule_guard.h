// A run-time check of the rules on requests, independent of the decisions that it checks.
//
// The server reports what happens on its sockets and asks before it sends or rejects. What the guard does not
// allow is not done, and counted: each violation is a fault of this program.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

#include "gateway/interface.h"
#include "gateway/request_rules.h"

namespace gateway::decision {

class RuleGuard {
  public:
    struct Violations {
        std::array<std::uint64_t, send_verdict_count> sends{};  // that were not allowed, by SendVerdict
        std::uint64_t rejections = 0;    // rejections of requests that may have been executed
        std::uint64_t late_answers = 0;  // half a second after the client's deadline, or later
        std::uint64_t unanswered = 0;    // requests in hand whose connection was closed by this side
        // The violations that are faults of this program. A decision may cross the end of its request: a send
        // for one that is completed or expired is held back in good order, and does not count.
        [[nodiscard]] std::uint64_t total() const;
    };

    explicit RuleGuard(Settings settings) : settings_(std::move(settings)), rules_(settings_) {}
    RuleGuard(const RuleGuard&) = delete;
    RuleGuard& operator=(const RuleGuard&) = delete;

    void hosts_changed(const HostsChanged& change);
    void host_banned(const HostBanned& ban);
    // `deadline`: when its client gives up.
    void request_arrived(RequestId id, int request_class, Micros deadline);
    // Whether the request's next attempt may begin at that host now; where it may, it counts as begun.
    SendVerdict begin_attempt(RequestId id, int number, const std::string& host, Micros now);
    void attempt_ended(RequestId id, int attempt, Outcome outcome);
    // Whether the request may be rejected; counts a violation where it may not.
    bool may_reject(RequestId id);
    // The request has its final answer.
    void answered(RequestId id, Micros now);
    void client_disconnected(RequestId id);
    // The request's connection is closed by this side before it has an answer.
    void closed_unanswered() { ++violations_.unanswered; }
    // Nothing more is asked about the request.
    void forget(RequestId id) { requests_.erase(id); }
    [[nodiscard]] const Violations& violations() const { return violations_; }

  private:
    struct ListedHost {
        std::string zone;
        std::int64_t cell = 0;
        bool draining = true;  // also where only a ban has named the host
        bool banned = false;
    };
    struct TrackedRequest {
        int request_class = 0;
        Micros deadline{0};
        RequestHistory history;
        bool completed = false;
    };
    [[nodiscard]] SendVerdict check(const TrackedRequest* request, const ListedHost* host, Micros now) const;
    [[nodiscard]] const RequestClass& class_of(const TrackedRequest& request) const;
    [[nodiscard]] TrackedRequest* find(RequestId id);

    const Settings settings_;
    const RequestRules rules_;
    std::unordered_map<std::string, ListedHost> hosts_;
    std::unordered_map<RequestId, TrackedRequest> requests_;
    Violations violations_;
};

}  // namespace gateway::decision

// A run-time check of the rules on requests, independent of the decisions that it checks.
//
// The server reports the events on its sockets to the guard, and checks with the guard before it sends an
// attempt or rejects a request. The server does not carry out an action that the guard forbids. The guard
// counts the action as a violation. Each violation is a defect of this program, except for a send to a host
// after its request has been completed or has expired.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

#include "gateway/interface.h"
#include "gateway/request_rules.h"

namespace gateway::decision {

// Tracks the hosts and the requests of one gateway and checks each action on a request against the rules.
class RuleGuard {
  public:
    // Counters of the forbidden actions and of late or missing answers.
    struct Violations {
        // Sends that were not allowed, indexed by SendVerdict.
        std::array<std::uint64_t, send_verdict_count> sends{};
        // Rejections of requests that may have been executed.
        std::uint64_t rejections = 0;
        // Answers sent half a second or more after the client's deadline.
        std::uint64_t late_answers = 0;
        // Requests without an answer whose connection the gateway closed.
        std::uint64_t unanswered = 0;
        // The number of violations that are defects of this program. Sends for a completed or expired request
        // are blocked but not counted here, because a request can end after the decision to send it was made.
        [[nodiscard]] std::uint64_t total() const;
    };

    explicit RuleGuard(Settings settings) : settings_(std::move(settings)), rules_(settings_) {}
    RuleGuard(const RuleGuard&) = delete;
    RuleGuard& operator=(const RuleGuard&) = delete;

    void hosts_changed(const HostsChanged& change);
    void host_banned(const HostBanned& ban);
    // `deadline` is the time at which the client gives up.
    void request_arrived(RequestId id, int request_class, Micros deadline);
    // Whether the request's next attempt may begin at the host now. If allowed, the attempt is recorded as
    // begun.
    SendVerdict begin_attempt(RequestId id, int number, const std::string& host, Micros now);
    void attempt_ended(RequestId id, int attempt, Outcome outcome);
    // Whether the request may be rejected. Counts a violation if not.
    bool may_reject(RequestId id);
    // The server has sent the request's final answer.
    void answered(RequestId id, Micros now);
    void client_disconnected(RequestId id);
    // The gateway has closed the request's connection before answering it.
    void closed_unanswered() { ++violations_.unanswered; }
    // Drops the history of a request that needs no further checks.
    void forget(RequestId id) { requests_.erase(id); }
    [[nodiscard]] const Violations& violations() const { return violations_; }

  private:
    struct ListedHost {
        std::string zone;
        std::int64_t cell = 0;
        bool draining = true;  // also true for a host that is known only from a ban
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

// Whether a request may be sent, retried, hedged or rejected now.
//
// The decision module asks here, and the server asks again before it carries a decision out, with a history
// of its own (rule_guard.h).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/interface.h"

namespace gateway::decision {

// Where a host stands: hosts share their memory of idempotency keys by zone or cell.
struct HostPlace {
    std::string_view zone;
    std::int64_t cell = 0;
};

// The attempts of one request and how they ended.
class RequestHistory {
  public:
    struct Attempt {
        int number = 0;
        Micros sent{0};
        std::string zone;  // of its host
        std::int64_t cell = 0;
        bool in_flight = true;
        bool not_executed = false;  // as its outcome proves
    };

    void begin_attempt(int number, const HostPlace& place, Micros now) {
        attempts_.push_back({number, now, std::string(place.zone), place.cell});
    }
    // No effect for an attempt that has ended or never begun.
    void end_attempt(int number, Outcome outcome);
    [[nodiscard]] const std::vector<Attempt>& attempts() const { return attempts_; }
    [[nodiscard]] int count() const { return static_cast<int>(attempts_.size()); }
    [[nodiscard]] int in_flight() const;
    // Whether any attempt may have been executed; one in flight may have been.
    [[nodiscard]] bool may_have_run() const;

  private:
    std::vector<Attempt> attempts_;
};

// Whether an outcome proves that the host did not execute the attempt.
[[nodiscard]] bool proves_not_executed(Outcome outcome);

enum class SendVerdict {
    allowed,
    attempts_exhausted,           // as many attempts as the settings allow
    may_have_run,                 // a request that is not idempotent may have been executed
    outside_deduplication_scope,  // the host does not share the memory of keys with an earlier attempt's host
    outside_deduplication_window,  // the host may have forgotten the key of an earlier attempt
    hedge_not_allowed,             // the settings allow no two attempts at once
    already_completed,             // the request has its final answer, or its client has disconnected
    expired,                       // the client's time is over
    host_draining,                 // the host drains, is gone or was banned
};
constexpr std::size_t send_verdict_count = 9;
[[nodiscard]] const char* to_string(SendVerdict verdict);

class RequestRules {
  public:
    // The settings must outlive the rules.
    explicit RequestRules(const Settings& settings) : settings_(settings) {}

    // Whether an attempt at a host in that place may begin now.
    [[nodiscard]] SendVerdict check_send(const RequestClass& request_class, const RequestHistory& history,
                                         const HostPlace& place, Micros now) const;
    // Whether a rejection may promise that executing the request again is harmless.
    [[nodiscard]] static bool may_reject(const RequestClass& request_class, const RequestHistory& history);

  private:
    [[nodiscard]] SendVerdict check_retry(const RequestClass& request_class,
                                          const RequestHistory::Attempt& earlier, const HostPlace& place,
                                          Micros now) const;

    const Settings& settings_;
};

}  // namespace gateway::decision

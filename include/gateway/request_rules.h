// The rules on whether a request may be sent, retried, hedged or rejected.
//
// The decision module applies them when it decides. The server applies them again, with a history of its own,
// before it carries out a decision (rule_guard.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/interface.h"

namespace gateway::decision {

// The zone and cell of a host. Hosts of one zone or cell may share their store of idempotency keys.
struct HostLocation {
    std::string_view zone;
    std::int64_t cell = 0;
};

// The attempts of one request and how they ended.
class RequestHistory {
  public:
    struct Attempt {
        int number = 0;
        Micros sent{0};
        std::string zone;  // zone of the attempt's host
        std::int64_t cell = 0;
        bool in_flight = true;
        bool not_executed = false;  // whether the outcome proves that the host did not execute the attempt
    };

    void begin_attempt(int number, const HostLocation& location, Micros now) {
        attempts_.push_back({number, now, std::string(location.zone), location.cell});
    }
    // Has no effect on an attempt that has already ended or was never begun.
    void end_attempt(int number, Outcome outcome);
    [[nodiscard]] const std::vector<Attempt>& attempts() const { return attempts_; }
    [[nodiscard]] int count() const { return static_cast<int>(attempts_.size()); }
    [[nodiscard]] int in_flight() const;
    // Whether any attempt may have been executed. An attempt in flight counts as possibly executed.
    [[nodiscard]] bool may_have_run() const;

  private:
    std::vector<Attempt> attempts_;
};

// Whether an outcome proves that the host did not execute the attempt.
[[nodiscard]] bool proves_not_executed(Outcome outcome);

// Whether an attempt may be sent, or the rule that forbids it.
enum class SendVerdict {
    allowed,
    // The request has had the maximum number of attempts that the settings allow.
    attempts_exhausted,
    // The request is not idempotent, and an earlier attempt may have been executed.
    may_have_run,
    // The host does not share its store of idempotency keys with an earlier attempt's host.
    outside_deduplication_scope,
    // The idempotency key of an earlier attempt may have expired at the host.
    outside_deduplication_window,
    // An attempt is in flight, and the settings forbid a second one at the same time.
    hedge_not_allowed,
    // The request has its final answer, or its client has disconnected.
    already_completed,
    // The client's deadline has passed.
    expired,
    // The host is draining, gone, banned or unknown.
    host_draining,
};
constexpr std::size_t send_verdict_count = 9;
[[nodiscard]] const char* to_string(SendVerdict verdict);

// Applies the limits and the idempotency rules of the settings to the history of a request.
class RequestRules {
  public:
    // `settings` must outlive this object.
    explicit RequestRules(const Settings& settings) : settings_(settings) {}

    // Whether an attempt at a host in the given zone and cell may begin now.
    [[nodiscard]] SendVerdict check_send(const RequestClass& request_class, const RequestHistory& history,
                                         const HostLocation& location, Micros now) const;
    // The time by which the host of a further attempt has to receive the complete request, because from then
    // on hosts may have forgotten the idempotency key of an earlier attempt that may have been executed.
    // Empty if there is no such attempt, or if the class has no idempotency key.
    [[nodiscard]] static std::optional<Micros> latest_delivery(const RequestClass& request_class,
                                                               const RequestHistory& history);
    // Whether a rejection may promise that executing the request again is harmless.
    [[nodiscard]] static bool may_reject(const RequestClass& request_class, const RequestHistory& history);

  private:
    [[nodiscard]] SendVerdict check_retry(const RequestClass& request_class,
                                          const RequestHistory::Attempt& earlier,
                                          const HostLocation& location, Micros now) const;

    const Settings& settings_;
};

}  // namespace gateway::decision

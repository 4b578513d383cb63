// The counters that operators scrape from /metrics.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "gateway/interface.h"
#include "gateway/rule_guard.h"
#include "reasons.h"

namespace gateway::server {

// Counts events by outcome, reason or status. The metric names are part of the interface to operators.
class Metrics {
  public:
    void request_received() { ++requests_; }
    // Counts an invalid request, which is not passed to the decision module.
    void request_invalid() { ++invalid_requests_; }
    // Counts the final answer to a valid request, by its status.
    void answered(unsigned status) { ++answers_[status]; }
    // Counts a request that the decision module rejected: it was not executed, or is safe to execute again.
    void request_shed(decision::RejectionReason reason) { ++rejections_[decision::to_string(reason)]; }
    // Counts a request that the decision module failed: it may have been executed.
    void request_failed(decision::RejectionReason reason) { ++failures_[decision::to_string(reason)]; }
    void attempt_begun(decision::AttemptReason reason) { ++attempts_begun_[decision::to_string(reason)]; }
    void attempt_ended(HostOutcome outcome) { ++attempts_ended_[to_string(outcome)]; }
    void response_streamed(StreamReason reason) { ++responses_streamed_[to_string(reason)]; }
    // Counts a response that a client waited for and that ended after its header, by the attempt's outcome.
    void response_incomplete(HostOutcome outcome) { ++responses_incomplete_[to_string(outcome)]; }
    void client_closed(ClientCloseReason reason) { ++client_closes_[to_string(reason)]; }
    void host_closed(HostCloseReason reason) { ++host_closes_[to_string(reason)]; }

    // Returns all counters in the Prometheus text format.
    [[nodiscard]] std::string text(const decision::RuleGuard::Violations& violations) const;

  private:
    using CountByName = std::map<std::string, std::uint64_t, std::less<>>;

    std::uint64_t requests_ = 0;
    std::uint64_t invalid_requests_ = 0;
    std::map<unsigned, std::uint64_t> answers_;  // by status
    CountByName rejections_;
    CountByName failures_;
    CountByName attempts_begun_;
    CountByName attempts_ended_;
    CountByName responses_streamed_;
    CountByName responses_incomplete_;
    CountByName client_closes_;
    CountByName host_closes_;
};

}  // namespace gateway::server

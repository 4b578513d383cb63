// Counts of what the gateway did and why, as operators read them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "gateway/interface.h"
#include "gateway/rule_guard.h"
#include "reasons.h"

namespace gateway::server {

class Metrics {
  public:
    void request_received() { ++requests_; }
    void request_rejected() { ++rejected_; }
    void answered(unsigned status) { ++answers_[status]; }
    void refused(decision::RejectionReason cause) { ++refusals_[decision::to_string(cause)]; }
    void failed(decision::RejectionReason cause) { ++failures_[decision::to_string(cause)]; }
    void attempt_begun(decision::AttemptReason cause) { ++attempts_begun_[decision::to_string(cause)]; }
    void attempt_ended(HostOutcome outcome) { ++attempts_ended_[to_string(outcome)]; }
    void client_closed(ClientCloseReason cause) { ++client_closes_[to_string(cause)]; }
    void host_closed(HostCloseReason cause) { ++host_closes_[to_string(cause)]; }

    // In the text format of Prometheus.
    std::string text(const decision::RuleGuard::Violations& violations) const;

  private:
    using CountByName = std::map<std::string, std::uint64_t, std::less<>>;

    std::uint64_t requests_ = 0, rejected_ = 0;
    std::map<unsigned, std::uint64_t> answers_;  // by status
    CountByName refusals_, failures_, attempts_begun_, attempts_ended_, client_closes_, host_closes_;
};

}  // namespace gateway::server

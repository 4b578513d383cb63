// The budget for retries and hedged requests: a share of the recently forwarded requests.
#pragma once

#include "context.h"
#include "decaying_counter.h"

namespace gateway::decision {

// Limits retries, so that they do not multiply the load on failing hosts.
class RetryPolicy {
  public:
    explicit RetryPolicy(const Context& context) : context_(context) {}

    // Records that a request's first attempt is sent, which adds a fraction of a retry to the budget.
    void record_first_attempt();
    // Takes one retry from the budget. Returns false and takes nothing if less than one is left.
    [[nodiscard]] bool take_retry();

    void serialize(auto& codec) { codec(first_attempts_, retries_); }

  private:
    const Context& context_;
    DecayingCounter first_attempts_;
    DecayingCounter retries_;
};

}  // namespace gateway::decision

// The budget for retries and hedged requests: a share of the requests forwarded lately.
#pragma once

#include "context.h"
#include "decaying_counter.h"

namespace gateway::decision {

// Guards against retries that multiply the load on hosts that fail.
class RetryPolicy {
  public:
    explicit RetryPolicy(const Context& context) : context_(context) {}

    // A request's first attempt is sent: earns a part of a retry.
    void record_first_attempt();
    // Takes one retry from the budget; false where it is spent.
    [[nodiscard]] bool take();

    void serialize(auto& codec) { codec(first_attempts_, retries_); }

  private:
    const Context& context_;
    DecayingCounter first_attempts_;
    DecayingCounter retries_;
};

}  // namespace gateway::decision

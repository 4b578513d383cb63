// How the ends of exchanges with hosts appear to the decision module.
#pragma once

#include "gateway/interface.h"
#include "reasons.h"

namespace gateway::server {

[[nodiscard]] decision::Outcome to_decision_outcome(HostOutcome outcome);

}  // namespace gateway::server

// Conversion of the outcomes of exchanges with hosts to those of the decision module.
#pragma once

#include "gateway/interface.h"
#include "reasons.h"

namespace gateway::server {

[[nodiscard]] decision::Outcome to_decision_outcome(HostOutcome outcome);

}  // namespace gateway::server

#include "outcome.h"

namespace gateway::server {

decision::Outcome to_decision_outcome(HostOutcome outcome) {
    switch (outcome) {
        case HostOutcome::success:
            return decision::Outcome::success;
        case HostOutcome::error:
            return decision::Outcome::error;
        case HostOutcome::rejected:
            return decision::Outcome::rejected;
        case HostOutcome::connect_failed:
            return decision::Outcome::connect_failed;
        case HostOutcome::reset:
            return decision::Outcome::reset;
        case HostOutcome::timeout:
            return decision::Outcome::timeout;
        case HostOutcome::cancelled:
            return decision::Outcome::cancelled;
        case HostOutcome::withdrawn:
        case HostOutcome::not_started:
            return decision::Outcome::not_sent;
    }
    return decision::Outcome::error;
}

}  // namespace gateway::server

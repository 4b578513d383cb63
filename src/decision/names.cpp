// The names of the interface's causes and outcomes, as they stand in logs and metrics.
#include "gateway/interface.h"

namespace gateway::decision {

const char* name_of(AttemptCause cause) {
    switch (cause) {
        case AttemptCause::first:
            return "first";
        case AttemptCause::retry:
            return "retry";
        case AttemptCause::second_copy:
            return "second_copy";
    }
    return "unknown";
}

const char* name_of(EndCause cause) {
    switch (cause) {
        case EndCause::expired_on_arrival:
            return "expired_on_arrival";
        case EndCause::handed_over:
            return "handed_over";
        case EndCause::over_quota:
            return "over_quota";
        case EndCause::over_open_cap:
            return "over_open_cap";
        case EndCause::paced:
            return "paced";
        case EndCause::queue_full:
            return "queue_full";
        case EndCause::no_host_in_time:
            return "no_host_in_time";
        case EndCause::no_quota_in_time:
            return "no_quota_in_time";
        case EndCause::repeat_not_allowed:
            return "repeat_not_allowed";
        case EndCause::retry_budget_spent:
            return "retry_budget_spent";
        case EndCause::too_late_for_a_repeat:
            return "too_late_for_a_repeat";
        case EndCause::deadline:
            return "deadline";
    }
    return "unknown";
}

const char* name_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::good:
            return "good";
        case Outcome::error:
            return "error";
        case Outcome::full:
            return "full";
        case Outcome::timeout:
            return "timeout";
        case Outcome::connect_failed:
            return "connect_failed";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::moot:
            return "moot";
    }
    return "unknown";
}

}  // namespace gateway::decision

// Names of the enumerators of interface.h, as they appear in logs and metrics.
#include "gateway/interface.h"

namespace gateway::decision {

const char* to_string(AttemptReason reason) {
    switch (reason) {
        case AttemptReason::first:
            return "first";
        case AttemptReason::retry:
            return "retry";
        case AttemptReason::hedge:
            return "hedge";
    }
    return "unknown";
}

const char* to_string(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::expired_on_arrival:
            return "expired_on_arrival";
        case RejectionReason::handed_over:
            return "handed_over";
        case RejectionReason::over_quota:
            return "over_quota";
        case RejectionReason::over_concurrency_limit:
            return "over_concurrency_limit";
        case RejectionReason::warm_up_limit:
            return "warm_up_limit";
        case RejectionReason::queue_full:
            return "queue_full";
        case RejectionReason::no_host_available:
            return "no_host_available";
        case RejectionReason::no_lease_in_time:
            return "no_lease_in_time";
        case RejectionReason::retry_not_allowed:
            return "retry_not_allowed";
        case RejectionReason::retry_budget_exhausted:
            return "retry_budget_exhausted";
        case RejectionReason::too_late_to_retry:
            return "too_late_to_retry";
        case RejectionReason::deadline_exceeded:
            return "deadline_exceeded";
    }
    return "unknown";
}

const char* to_string(Outcome outcome) {
    switch (outcome) {
        case Outcome::success:
            return "success";
        case Outcome::error:
            return "error";
        case Outcome::rejected:
            return "rejected";
        case Outcome::timeout:
            return "timeout";
        case Outcome::connect_failed:
            return "connect_failed";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::not_sent:
            return "not_sent";
    }
    return "unknown";
}

}  // namespace gateway::decision

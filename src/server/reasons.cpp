#include "reasons.h"

namespace gateway::server {

const char* to_string(HostOutcome outcome) noexcept {
    switch (outcome) {
        case HostOutcome::success:
            return "success";
        case HostOutcome::error:
            return "error";
        case HostOutcome::rejected:
            return "rejected";
        case HostOutcome::connect_failed:
            return "connect_failed";
        case HostOutcome::reset:
            return "reset";
        case HostOutcome::timeout:
            return "timeout";
        case HostOutcome::cancelled:
            return "cancelled";
        case HostOutcome::withdrawn:
            return "withdrawn";
        case HostOutcome::not_started:
            return "not_started";
    }
    return "unknown";
}

const char* to_string(StreamReason reason) noexcept {
    switch (reason) {
        case StreamReason::long_body:
            return "long_body";
        case StreamReason::decision:
            return "decision";
        case StreamReason::deadline:
            return "deadline";
    }
    return "unknown";
}

const char* to_string(HostCloseReason reason) noexcept {
    switch (reason) {
        case HostCloseReason::exchange_failed:
            return "exchange_failed";
        case HostCloseReason::not_reusable:
            return "not_reusable";
        case HostCloseReason::idle_timeout:
            return "idle_timeout";
        case HostCloseReason::closed_by_host:
            return "closed_by_host";
        case HostCloseReason::host_draining:
            return "host_draining";
        case HostCloseReason::evicted:
            return "evicted";
        case HostCloseReason::handed_over:
            return "handed_over";
        case HostCloseReason::shutdown:
            return "shutdown";
    }
    return "unknown";
}

const char* to_string(ClientCloseReason reason) noexcept {
    switch (reason) {
        case ClientCloseReason::closed_by_client:
            return "closed_by_client";
        case ClientCloseReason::write_failed:
            return "write_failed";
        case ClientCloseReason::response_aborted:
            return "response_aborted";
        case ClientCloseReason::linger_timeout:
            return "linger_timeout";
        case ClientCloseReason::timeout:
            return "timeout";
        case ClientCloseReason::evicted:
            return "evicted";
        case ClientCloseReason::flood:
            return "flood";
        case ClientCloseReason::internal_error:
            return "internal_error";
        case ClientCloseReason::handed_over:
            return "handed_over";
        case ClientCloseReason::shutdown:
            return "shutdown";
    }
    return "unknown";
}

}  // namespace gateway::server

#include "causes.h"

namespace gateway::server {

const char* to_string(HostOutcome outcome) {
    switch (outcome) {
        case HostOutcome::served:
            return "served";
        case HostOutcome::error:
            return "error";
        case HostOutcome::full:
            return "full";
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
        case HostOutcome::not_begun:
            return "not_begun";
    }
    return "unknown";
}

const char* to_string(HostClose cause) {
    switch (cause) {
        case HostClose::exchange_failed:
            return "exchange_failed";
        case HostClose::not_kept:
            return "not_kept";
        case HostClose::idle_for_long:
            return "idle_for_long";
        case HostClose::host_ended_it:
            return "host_ended_it";
        case HostClose::host_leaving:
            return "host_leaving";
        case HostClose::shortage:
            return "shortage";
        case HostClose::handed_over:
            return "handed_over";
        case HostClose::shut_down:
            return "shut_down";
    }
    return "unknown";
}

const char* to_string(ClientClose cause) {
    switch (cause) {
        case ClientClose::client_left:
            return "client_left";
        case ClientClose::write_failed:
            return "write_failed";
        case ClientClose::answer_broken:
            return "answer_broken";
        case ClientClose::linger_over:
            return "linger_over";
        case ClientClose::stalled:
            return "stalled";
        case ClientClose::shortage:
            return "shortage";
        case ClientClose::flood:
            return "flood";
        case ClientClose::abandoned:
            return "abandoned";
        case ClientClose::handed_over:
            return "handed_over";
        case ClientClose::shut_down:
            return "shut_down";
    }
    return "unknown";
}

}  // namespace gateway::server

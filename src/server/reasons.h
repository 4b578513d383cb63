// How attempts and connections end, and why: the values that logs and metrics show.
#pragma once

namespace gateway::server {

// How an attempt or a health check ended.
enum class HostOutcome {
    success,
    error,           // the host answered that it failed, or not as the protocol asks: may have been executed
    rejected,        // the host answered that it is overloaded: not executed
    connect_failed,  // the connection broke before the request's last byte was written: not executed
    reset,           // the connection broke after that
    timeout,
    cancelled,
    withdrawn,    // before its last byte was written: not executed
    not_started,  // this machine had no socket, port, route or descriptor for it: not executed, and no fault
                  // of the host
};
[[nodiscard]] const char* to_string(HostOutcome outcome);

// Why a connection to a host was closed.
enum class HostCloseReason {
    exchange_failed,  // timeout, cancellation, reset or an unreadable answer
    not_reusable,     // the host ends it after the answer, or takes nothing new
    idle_timeout,
    closed_by_host,  // while it was idle: an end, or bytes that nobody asked for
    host_draining,   // the endpoint list or operators took its host out, or the host has moved
    evicted,         // its descriptor is needed for another connection
    handed_over,     // to the next process of an upgrade
    shutdown,        // with this process
};
[[nodiscard]] const char* to_string(HostCloseReason reason);

// Why a client's connection was closed.
enum class ClientCloseReason {
    closed_by_client,  // it closed, or its connection broke
    write_failed,      // an answer could not be written
    answer_broken,     // a streamed answer broke off at its host, and the client has to see that
    linger_timeout,    // closed by this side after its last answer
    timeout,           // the client read nothing of its answer, or was silent, for too long
    evicted,           // its descriptor is needed for another connection
    flood,             // the client sent far more than a request behind one in hand
    internal_error,    // a step of it failed in this program
    handed_over,       // to the next process of an upgrade
    shutdown,          // with this process
};
[[nodiscard]] const char* to_string(ClientCloseReason reason);

}  // namespace gateway::server

// The outcomes of attempts and the reasons for closing connections, as logs and metrics show them.
#pragma once

namespace gateway::server {

// How an attempt or a health check ended.
enum class HostOutcome {
    success,
    error,           // the host responded with an error, or malformed: may have been executed
    rejected,        // the host responded that it is overloaded: not executed
    connect_failed,  // the connection broke before the request's last byte was written: not executed
    reset,           // the connection broke after that
    timeout,         // no complete response in time: may have been executed
    cancelled,       // by the gateway: may have been executed
    withdrawn,       // by the gateway, before its last byte was written: not executed
    not_started,  // this machine had no socket, port, route or descriptor for it: not executed, and no fault
                  // of the host
};
// The name in logs and metrics.
[[nodiscard]] const char* to_string(HostOutcome outcome) noexcept;

// Why a connection to a host was closed.
enum class HostCloseReason {
    exchange_failed,  // timeout, cancellation, reset or failed connect
    not_reusable,     // the response was malformed or closes it, or the host accepts no requests
    idle_timeout,     // before the host's own idle timeout
    closed_by_host,   // while it was idle: an end, or bytes that nobody requested
    host_draining,    // its host drains, is gone, is banned or has moved
    evicted,          // its descriptor is needed for another connection
    handed_over,      // to the next process of an upgrade
    shutdown,         // with this process
};
// The name in logs and metrics.
[[nodiscard]] const char* to_string(HostCloseReason reason) noexcept;

// Why a client's connection was closed.
enum class ClientCloseReason {
    closed_by_client,  // it closed, or its connection broke
    write_failed,      // a response could not be written
    response_aborted,  // a streamed response broke off at its host, and the client has to see that
    linger_timeout,    // closed by this side after its last response
    timeout,           // the client read nothing of its response, or was silent, for too long
    evicted,           // its descriptor is needed for another connection
    flood,             // too much pipelined data behind a request in flight
    internal_error,    // a handler of it failed in this program
    handed_over,       // to the next process of an upgrade
    shutdown,          // with this process
};
// The name in logs and metrics.
[[nodiscard]] const char* to_string(ClientCloseReason reason) noexcept;

}  // namespace gateway::server

// The outcomes of attempts and the reasons for closing connections, with their names in logs and metrics.
#pragma once

namespace gateway::server {

// How an attempt or a health check ended, and whether the host may have executed the request.
enum class HostOutcome {
    success,
    error,           // the response is an error or malformed: may have been executed
    rejected,        // the host rejected the request because of overload: not executed
    connect_failed,  // the connection failed before the request was written completely: not executed
    reset,           // the connection failed after the request was written: may have been executed
    timeout,         // no complete response by the deadline: may have been executed
    cancelled,       // the gateway cancelled the attempt: may have been executed
    withdrawn,       // the gateway ended the attempt before the request was written completely: not executed
    // This machine lacked a socket, port, route or descriptor for the attempt: not executed, and no fault of
    // the host.
    not_started,
};
// Returns the name in logs and metrics.
[[nodiscard]] const char* to_string(HostOutcome outcome) noexcept;

// Why a response is streamed before it is complete.
enum class StreamReason {
    long_body,  // it is too long to be buffered
    decision,   // the decision module does not hold it back any longer
    deadline,   // it has no length, and the request has to be answered now
};
// Returns the name in logs and metrics.
[[nodiscard]] const char* to_string(StreamReason reason) noexcept;

// Why a connection to a host was closed.
enum class HostCloseReason {
    exchange_failed,  // the exchange ended by a timeout, cancellation, reset or failed connect
    // The response was malformed or does not allow the connection to be kept, or the host accepts no
    // requests.
    not_reusable,
    idle_timeout,    // closed while idle, before the host's own idle timeout
    closed_by_host,  // the host closed the idle connection or sent unrequested bytes on it
    host_draining,   // the host is draining, gone or banned, or its address has changed
    evicted,         // the descriptor is needed for another connection
    handed_over,     // handed over to the successor in an upgrade
    shutdown,        // this process ends
};
// Returns the name in logs and metrics.
[[nodiscard]] const char* to_string(HostCloseReason reason) noexcept;

// Why a client's connection was closed.
enum class ClientCloseReason {
    closed_by_client,  // the client closed the connection, or the connection failed
    write_failed,      // a response could not be written
    response_aborted,  // a streamed response failed at its host, which the client detects by the reset
    linger_timeout,    // closed by the gateway after its last response
    timeout,           // the client did not read its response, or sent nothing, for too long
    evicted,           // the descriptor is needed for another connection
    flood,             // the client sent too much pipelined data behind a request in flight
    internal_error,    // a handler of the connection threw an exception
    handed_over,       // handed over to the successor in an upgrade
    shutdown,          // this process ends
};
// Returns the name in logs and metrics.
[[nodiscard]] const char* to_string(ClientCloseReason reason) noexcept;

}  // namespace gateway::server

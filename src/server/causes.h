// What became of exchanges and connections, and why: as the log and the metrics tell it.
#pragma once

namespace gateway::server {

// What became of an attempt or a probe.
enum class HostOutcome {
    served,
    error,           // answered, but not as it should: it may have run
    full,            // turned away: never ran
    connect_failed,  // broke before the request's last byte was written: never ran
    reset,           // broke after that
    timeout,
    cancelled,
    withdrawn,  // before its last byte was written: never ran
    not_begun,  // the own machine had no place, port, route or descriptor for it: never ran, and no host's
                // fault
};

const char* to_string(HostOutcome outcome);

// Why a connection to a host has ended.
enum class HostClose {
    exchange_failed,  // by its outcome: a time-out, a cancel, a reset, an answer that can't be read
    not_kept,         // its host ends it after the answer, or takes nothing new
    idle_for_long,
    host_ended_it,  // while it was idle: an end, or bytes that nobody asked for
    host_leaving,   // the list or operators took its host out, or the host has moved
    shortage,       // its place is needed for another
    handed_over,    // to the next process of an upgrade
    shut_down,      // with this process
};
const char* to_string(HostClose cause);

// Why a client's connection has ended.
enum class ClientClose {
    client_left,    // it closed, or its connection broke
    write_failed,   // an answer could not be written
    answer_broken,  // a long answer broke off at its host, and the client has to see that
    linger_over,    // ended by this side after its last answer
    stalled,        // it took nothing of its answer, or was silent, for too long
    shortage,       // its place is needed for another
    flood,          // it sent far more than a request behind one in hand
    abandoned,      // a step of it failed in this program
    handed_over,    // to the next process of an upgrade
    shut_down,      // with this process
};
const char* to_string(ClientClose cause);

}  // namespace gateway::server

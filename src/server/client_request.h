// A client's request as the client server passes it to the request handler.
#pragma once

#include <cstdint>

#include "byte_budget.h"
#include "clock.h"
#include "http.h"

namespace gateway::server {

// A complete request, without the header fields that concern only the client's connection.
struct ClientRequest {
    // Unique within the process.
    std::uint64_t id = 0;
    // The number of the connection on which the request arrived.
    std::uint64_t connection = 0;
    // The time at which the request's first byte was received. If the byte had arrived before the connection
    // was accepted, this is the estimated time of the connect, so that the wait in the backlog counts.
    Steady::time_point arrived;
    Request message;
    // The reservation for the bytes of the body.
    ByteBudget::Reservation body_reservation;
};

}  // namespace gateway::server

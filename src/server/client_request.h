// A client's request as the clients' side passes it on.
#pragma once

#include <cstdint>

#include "byte_budget.h"
#include "clock.h"
#include "http.h"

namespace gateway::server {

// A complete request, without the fields that concern the client's connection only.
struct ClientRequest {
    std::uint64_t id = 0;          // unique within the process
    std::uint64_t connection = 0;  // the number of the connection that it came on
    Steady::time_point arrived;    // at this machine, as far as that is known: never later than it did
    Request message;
    ByteBudget::Reservation room;  // reserves the bytes of its body
};

}  // namespace gateway::server

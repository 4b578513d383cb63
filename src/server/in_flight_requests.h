// The table of requests in flight.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "byte_budget.h"
#include "clock.h"
#include "gateway/interface.h"
#include "http.h"

namespace gateway::server {

// A request that waits for its final answer, or one that has it and still has attempts in flight.
struct InFlightRequest {
    Request message;                    // emptied once the request is answered
    ByteBudget::Reservation body_room;  // the memory reserved for the message's body
    std::string trace_id;
    Micros deadline{0};                    // clock time
    int attempts_started = 0;              // also the number of the next attempt
    int attempts_in_flight = 0;            // handed to the host pool and not ended
    bool answered = false;                 // it has its final answer, or needs none
    std::optional<int> streaming_attempt;  // the attempt whose answer is streamed to the client
};

// Owns the requests in flight, by id. Trace ids are unique among them, because a host could not tell the
// copies of a request apart.
class InFlightRequests {
  public:
    // A reference stays valid until its request is erased.
    InFlightRequest& add(decision::RequestId id, InFlightRequest&& request);
    // Null if the request is not in flight.
    [[nodiscard]] InFlightRequest* find(decision::RequestId id);
    [[nodiscard]] bool contains_trace_id(std::string_view trace_id) const;
    void erase(decision::RequestId id);
    [[nodiscard]] std::vector<decision::RequestId> unanswered() const;
    // Includes answered requests with attempts in flight.
    [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

  private:
    std::unordered_map<decision::RequestId, InFlightRequest> requests_;
    std::unordered_set<std::string_view> trace_ids_;  // views into requests_
};

}  // namespace gateway::server

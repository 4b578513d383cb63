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

// A request without a final answer, or an answered one that still has attempts in flight.
struct InFlightRequest {
    // Emptied once the request is answered.
    Request message;
    // The reservation for the memory of the message's body.
    ByteBudget::Reservation body_reservation;
    std::string trace_id;
    // The time of `Clock` by which the request has to be answered.
    Micros deadline{0};
    // Also the number of the next attempt.
    int attempts_started = 0;
    // Attempts that the host pool has received and not ended.
    int attempts_in_flight = 0;
    // Whether the request has its final answer, or needs none because its client has disconnected.
    bool answered = false;
    bool idempotent = true;
    // Whether a host may have executed an attempt that has ended.
    bool may_have_run = false;
    // The attempt whose response is being streamed to the client.
    std::optional<int> streaming_attempt;
};

// Owns the requests in flight, keyed by id. Trace ids are unique among them, because a host could not
// distinguish two requests with the same one.
class InFlightRequests {
  public:
    // Adds a request. The reference is valid until the request is erased.
    InFlightRequest& add(decision::RequestId id, InFlightRequest&& request);
    // Returns null if the request is not in flight.
    [[nodiscard]] InFlightRequest* find(decision::RequestId id);
    [[nodiscard]] bool contains_trace_id(std::string_view trace_id) const;
    void erase(decision::RequestId id);
    [[nodiscard]] std::vector<decision::RequestId> unanswered() const;
    // The trace ids of the non-idempotent requests.
    [[nodiscard]] std::vector<std::string_view> non_idempotent_trace_ids() const;
    // The number of requests, including answered ones that have attempts in flight.
    [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

  private:
    std::unordered_map<decision::RequestId, InFlightRequest> requests_;
    // Views into `requests_`.
    std::unordered_set<std::string_view> trace_ids_;
};

}  // namespace gateway::server

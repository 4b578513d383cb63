#include "in_flight_requests.h"

#include <utility>

namespace gateway::server {

InFlightRequest& InFlightRequests::add(decision::RequestId id, InFlightRequest&& request) {
    InFlightRequest& added = requests_.try_emplace(id, std::move(request)).first->second;
    trace_ids_.insert(added.trace_id);
    return added;
}

InFlightRequest* InFlightRequests::find(decision::RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

bool InFlightRequests::contains_trace_id(std::string_view trace_id) const {
    return trace_ids_.contains(trace_id);
}

void InFlightRequests::erase(decision::RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    trace_ids_.erase(found->second.trace_id);
    requests_.erase(found);
}

std::vector<decision::RequestId> InFlightRequests::unanswered() const {
    std::vector<decision::RequestId> ids;
    for (const auto& [id, request] : requests_)
        if (!request.answered) ids.push_back(id);
    return ids;
}

std::vector<std::string_view> InFlightRequests::non_idempotent_trace_ids() const {
    std::vector<std::string_view> trace_ids;
    for (const auto& [id, request] : requests_)
        if (!request.idempotent) trace_ids.emplace_back(request.trace_id);
    return trace_ids;
}

}  // namespace gateway::server

// Implements the part of RequestFlow that decides when an answer is streamed whose end has not arrived.
#include <algorithm>

#include "request_flow.h"
#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// An arriving answer is held back for at most this time, although a retry could still replace it: clients
// count a long answer as lost if what its host has written is held back for 2 s.
constexpr Micros max_response_hold = 1s;
}  // namespace

void RequestFlow::on_response_arriving(const ResponseArriving& response) {
    Request* const request = find(response.id);
    if (request == nullptr) return;
    request->arriving.push_back({response.attempt, context_.now()});
    hold_back(*request);
}

// The response is held back as long as a further attempt could do better, that is, until the last moment at
// which its start earns the full weight, or until the hold limit.
void RequestFlow::hold_back(Request& request) {
    const Micros now = context_.now();
    request.stream_at = request.arriving.front().since + max_response_hold;
    const Micros arrived = request.deadline - request.arrival.time_left;
    const Micros objective_end =
        arrived + class_of(request).latency_objective - min_ticks_left * context_.settings().tick;
    if (objective_end > now) request.stream_at = std::min(request.stream_at, objective_end);
    context_.set_timer(request.stream_at - now, request.arrival.id, TimerKind::expiry);
}

void RequestFlow::check_arriving_responses(Request& request) {
    const Micros now = context_.now();
    if (request.arriving.empty() || now < request.stream_at) return;
    const bool other_attempt_in_flight =
        request.history.in_flight() > static_cast<int>(request.arriving.size());
    const bool held_for_long = now >= request.arriving.front().since + max_response_hold;
    if (other_attempt_in_flight && !held_for_long) return hold_back(request);
    stream_arriving_response(request);
}

bool RequestFlow::stream_arriving_response(Request& request) {
    if (request.arriving.empty()) return false;
    context_.emit(StreamResponse{request.arrival.id, request.arriving.back().attempt});
    request.arriving.clear();
    return true;
}

}  // namespace gateway::decision

#include "request_queue.h"

namespace gateway::decision {
namespace {
// Number of requests that may wait for each listed host, in addition to one request that may always wait.
constexpr double max_waiting_per_host = 0.5;
}  // namespace

std::optional<RequestId> RequestQueue::pop_overflow(std::size_t host_count) {
    const double capacity = max_waiting_per_host * static_cast<double>(host_count) + 1;
    if (static_cast<double>(ids_.size()) <= capacity) return std::nullopt;
    const RequestId oldest = ids_.front();
    ids_.pop_front();
    return oldest;
}

}  // namespace gateway::decision

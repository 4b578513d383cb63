#include "request_queue.h"

namespace gateway::decision {
namespace {
constexpr double waiting_per_host = 0.5;
}

std::optional<RequestId> RequestQueue::pop_overflow(std::size_t hosts) {
    const double capacity = waiting_per_host * static_cast<double>(hosts) + 1;
    if (static_cast<double>(ids_.size()) <= capacity) return std::nullopt;
    const RequestId oldest = ids_.front();
    ids_.pop_front();
    return oldest;
}

}  // namespace gateway::decision

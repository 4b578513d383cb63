// The queue of requests that wait for a host with capacity.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "gateway/interface.h"

namespace gateway::decision {

// Holds only ids. An id stays in the queue after its request has completed; the caller recognizes such an id
// when it is offered and lets it be removed.
class RequestQueue {
  public:
    [[nodiscard]] bool empty() const noexcept { return ids_.empty(); }
    void push(RequestId id) { ids_.push_back(id); }
    // If more requests wait than the hosts could soon take, removes the one that has waited longest and
    // returns it. The caller completes it at once, so that its client can retry in time. This guards against
    // a queue in which all requests wait until it is too late. The cost: a request is completed needlessly if
    // many hosts become free at once. `host_count`: number of listed hosts.
    [[nodiscard]] std::optional<RequestId> pop_overflow(std::size_t host_count);
    // Offers each id to `leaves_queue`, the newest first, and removes those for which it returns true. Served
    // in the order of arrival, all requests would leave the queue at the last possible moment during a
    // lasting shortage of hosts. The cost: the few requests that wait during a short shortage wait longer.
    // `leaves_queue` must not change the queue.
    template <class Predicate>
    void offer_newest_first(Predicate leaves_queue) {
        for (std::size_t i = ids_.size(); i-- > 0;)
            if (leaves_queue(ids_[i])) ids_.erase(ids_.begin() + static_cast<std::ptrdiff_t>(i));
    }

  private:
    std::deque<RequestId> ids_;
};

}  // namespace gateway::decision

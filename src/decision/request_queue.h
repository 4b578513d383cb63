// Requests that wait for a host with capacity.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "gateway/interface.h"

namespace gateway::decision {

// Holds ids only: one whose request has completed meanwhile is dropped when its turn comes.
class RequestQueue {
  public:
    [[nodiscard]] bool empty() const noexcept { return ids_.empty(); }
    void push(RequestId id) { ids_.push_back(id); }
    // Of more requests than hosts could soon take, the one that has waited longest: it is to be completed
    // now, so that its client can come again in time. Guards against a queue that only ages; harms if many
    // hosts come free at once. `hosts`: listed.
    [[nodiscard]] std::optional<RequestId> pop_overflow(std::size_t hosts);
    // Offers each request to `leaves`, the newest first, and drops those for which it returns true. In order,
    // all would leave at their last moment: guards against any lasting shortage of hosts; harms the few that
    // wait in a short one. `leaves` must not change the queue.
    template <class Leaves>
    void offer_newest_first(Leaves leaves) {
        for (std::size_t i = ids_.size(); i-- > 0;)
            if (leaves(ids_[i])) ids_.erase(ids_.begin() + static_cast<std::ptrdiff_t>(i));
    }

  private:
    std::deque<RequestId> ids_;
};

}  // namespace gateway::decision

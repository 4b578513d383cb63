// The queue of events for the decision module.
#pragma once

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "clock.h"
#include "gateway/interface.h"

namespace gateway::server {

// Hands events to the decision module one by one and its actions to `execute`. The module is never called
// from within its own actions: an event that an action causes at once waits in the queue.
class EventDispatcher {
  public:
    using Execute = std::function<void(decision::Action&)>;
    using OnQueueEmpty = std::function<void()>;

    // `gateway` and `clock` must outlive the dispatcher. `on_queue_empty` runs after the last queued event.
    EventDispatcher(decision::Gateway& gateway, const Clock& clock, Execute execute,
                    OnQueueEmpty on_queue_empty);

    void dispatch(decision::Event&& event);
    // Queues `event`, then runs `consequence`, so that the module sees the event before those that the
    // consequence causes.
    template <class Consequence>
    void dispatch_before(decision::Event&& event, Consequence consequence) {
        queue_.push_back(std::move(event));
        const bool nested = std::exchange(dispatching_, true);
        consequence();
        dispatching_ = nested;
        if (!dispatching_) dispatch_queue();
    }

  private:
    void dispatch_queue();

    decision::Gateway& gateway_;
    const Clock& clock_;
    Execute execute_;
    OnQueueEmpty on_queue_empty_;
    std::deque<decision::Event> queue_;
    std::vector<decision::Action> actions_;  // of the event in hand; a member so that its memory is reused
    bool dispatching_ = false;
};

}  // namespace gateway::server

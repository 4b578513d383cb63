// The queue of events for the decision module.
#pragma once

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "clock.h"
#include "gateway/interface.h"

namespace gateway::server {

// Passes events to the decision module one by one, and the actions that it returns to `execute`. The module
// is never called recursively: an event that arises while an action is carried out waits in the queue.
class EventDispatcher {
  public:
    using Execute = std::function<void(decision::Action&)>;
    using OnQueueEmpty = std::function<void()>;

    // `gateway` and `clock` must outlive the dispatcher. `on_queue_empty` is called each time the queue has
    // been emptied.
    EventDispatcher(decision::Gateway& gateway, const Clock& clock, Execute execute,
                    OnQueueEmpty on_queue_empty);

    // Queues `event` and handles all queued events, unless it is called while another event is handled.
    void dispatch(decision::Event&& event);
    // Queues `event`, then runs `consequence`. The module thereby receives `event` before any events that
    // `consequence` causes, but only after `consequence` has returned.
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
    // The actions for the current event. A member, so that its memory is reused.
    std::vector<decision::Action> actions_;
    bool dispatching_ = false;
};

}  // namespace gateway::server

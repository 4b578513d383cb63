#include "event_dispatcher.h"

namespace gateway::server {

EventDispatcher::EventDispatcher(decision::Gateway& gateway, const Clock& clock, Execute execute,
                                 OnQueueEmpty on_queue_empty)
    : gateway_(gateway),
      clock_(clock),
      execute_(std::move(execute)),
      on_queue_empty_(std::move(on_queue_empty)) {}

void EventDispatcher::dispatch(decision::Event&& event) {
    queue_.push_back(std::move(event));
    if (!dispatching_) dispatch_queue();
}

void EventDispatcher::dispatch_queue() {
    dispatching_ = true;
    while (!queue_.empty()) {
        const decision::Event event = std::move(queue_.front());
        queue_.pop_front();
        actions_.clear();
        gateway_.handle(clock_.now(), event, actions_);
        for (decision::Action& action : actions_) execute_(action);
    }
    dispatching_ = false;
    on_queue_empty_();
}

}  // namespace gateway::server

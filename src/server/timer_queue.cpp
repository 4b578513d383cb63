#include "timer_queue.h"

#include <algorithm>
#include <utility>

namespace gateway::server {

TimerQueue::TimerQueue(boost::asio::io_context& io, const Clock& clock, Callbacks callbacks)
    : clock_(clock), callbacks_(std::move(callbacks)), wake_up_(io) {}

void TimerQueue::add_timer(Micros due, std::uint64_t token) {
    entries_.push({due, Entry::Kind::timer, token});
}

void TimerQueue::add_deadline(Micros due, decision::RequestId request) {
    entries_.push({due, Entry::Kind::deadline, request});
}

void TimerQueue::arm() {
    if (entries_.empty() || entries_.top().due >= armed_for_) return;
    armed_for_ = entries_.top().due;
    wake_up_.expires_after(std::max(armed_for_ - clock_.now(), Micros{0}));
    wake_up_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) run_due();
    });
}

void TimerQueue::run_due() {
    armed_for_ = Micros::max();
    const Micros now = clock_.now();
    while (!entries_.empty() && entries_.top().due <= now) {
        const Entry entry = entries_.top();
        entries_.pop();
        if (entry.kind == Entry::Kind::timer) callbacks_.on_timer(entry.id);
        else callbacks_.on_deadline(entry.id);
    }
    arm();
}

}  // namespace gateway::server

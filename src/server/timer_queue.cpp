#include "timer_queue.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gateway::server {

TimerQueue::TimerQueue(boost::asio::io_context& io, const Clock& clock, Callbacks callbacks)
    : clock_(clock), callbacks_(std::move(callbacks)), wake_up_(io) {}

void TimerQueue::add_timer(Micros due, std::uint64_t token) { add({due, Entry::Kind::timer, token}); }

void TimerQueue::add_deadline(Micros due, decision::RequestId request) {
    add({due, Entry::Kind::deadline, request});
}

void TimerQueue::add(const Entry& entry) {
    if (entries_.size() >= compact_at_size_) compact();
    entries_.push_back(entry);
    std::push_heap(entries_.begin(), entries_.end(), std::greater<>());
}

TimerQueue::Entry TimerQueue::take_earliest() {
    std::pop_heap(entries_.begin(), entries_.end(), std::greater<>());
    const Entry earliest = entries_.back();
    entries_.pop_back();
    return earliest;
}

bool TimerQueue::applies(const Entry& entry) const {
    const auto& awaits =
        entry.kind == Entry::Kind::timer ? callbacks_.awaits_timer : callbacks_.awaits_deadline;
    return !awaits || awaits(entry.id);
}

// The size at which the queue is compacted next is twice what is left, so that the cost for each entry is
// constant on average.
void TimerQueue::compact() {
    std::erase_if(entries_, [this](const Entry& entry) { return !applies(entry); });
    std::make_heap(entries_.begin(), entries_.end(), std::greater<>());
    compact_at_size_ = std::max(min_entries_to_compact, 2 * entries_.size());
}

void TimerQueue::arm() {
    if (entries_.empty() || entries_.front().due >= armed_for_) return;
    armed_for_ = entries_.front().due;
    wake_up_.expires_after(std::max(armed_for_ - clock_.now(), Micros{0}));
    wake_up_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) run_due();
    });
}

void TimerQueue::run_due() {
    armed_for_ = Micros::max();
    const Micros now = clock_.now();
    while (!entries_.empty() && entries_.front().due <= now) {
        const Entry entry = take_earliest();
        if (entry.kind == Entry::Kind::timer) callbacks_.on_timer(entry.id);
        else callbacks_.on_deadline(entry.id);
    }
    arm();
}

}  // namespace gateway::server

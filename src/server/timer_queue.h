// Schedules the timers of the decision module and the deadlines of requests with one timer of the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "clock.h"
#include "gateway/interface.h"

namespace gateway::server {

// A priority queue of clock times. Entries are not cancelled: the owner has to ignore those that no longer
// apply. The queue drops such entries when it has grown, so that its size depends on the entries that apply
// and not on the rate of requests.
class TimerQueue {
  public:
    struct Callbacks {
        // A timer of the decision module is due.
        std::function<void(std::uint64_t token)> on_timer;
        // A request's deadline has been reached.
        std::function<void(decision::RequestId request)> on_deadline = {};
        // Whether an entry still applies. If a callback is not set, all entries of its kind do.
        std::function<bool(std::uint64_t token)> awaits_timer = {};
        std::function<bool(decision::RequestId request)> awaits_deadline = {};
    };
    // Entries that no longer apply are dropped only if there are at least this many entries.
    static constexpr std::size_t min_entries_to_compact = 16 * 1024;

    // `clock` must outlive the queue.
    TimerQueue(boost::asio::io_context& io, const Clock& clock, Callbacks callbacks);

    // Both functions take times of `Clock` and take effect with the next `arm`.
    void add_timer(Micros due, std::uint64_t token);
    void add_deadline(Micros due, decision::RequestId request);
    // Schedules the wake-up for the earliest entry.
    void arm();
    // The number of entries, including those that no longer apply.
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

  private:
    struct Entry {
        enum class Kind { timer, deadline };
        Micros due;
        Kind kind;
        // A timer's token or a request's id, depending on `kind`.
        std::uint64_t id;
        bool operator>(const Entry& other) const { return due > other.due; }
    };
    void add(const Entry& entry);
    [[nodiscard]] Entry take_earliest();
    [[nodiscard]] bool applies(const Entry& entry) const;
    // Drops the entries that no longer apply.
    void compact();
    void run_due();

    const Clock& clock_;
    Callbacks callbacks_;
    std::vector<Entry> entries_;  // a heap with the earliest entry first
    std::size_t compact_at_size_ = min_entries_to_compact;
    boost::asio::steady_timer wake_up_;
    // The time of the scheduled wake-up; the maximum value: none is scheduled.
    Micros armed_for_ = Micros::max();
};

}  // namespace gateway::server

// Schedules the timers of the decision module and the deadlines of requests with one timer of the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "clock.h"
#include "gateway/interface.h"

namespace gateway::server {

// A priority queue of clock times. Entries are never cancelled: the owner has to ignore those that no longer
// apply.
class TimerQueue {
  public:
    struct Callbacks {
        // A timer of the decision module is due.
        std::function<void(std::uint64_t token)> on_timer;
        // A request's deadline has been reached.
        std::function<void(decision::RequestId request)> on_deadline = {};
    };

    // `clock` must outlive the queue.
    TimerQueue(boost::asio::io_context& io, const Clock& clock, Callbacks callbacks);

    // Both functions take times of `Clock` and take effect with the next `arm`.
    void add_timer(Micros due, std::uint64_t token);
    void add_deadline(Micros due, decision::RequestId request);
    // Schedules the wake-up for the earliest entry.
    void arm();

  private:
    struct Entry {
        enum class Kind { timer, deadline };
        Micros due;
        Kind kind;
        // A timer's token or a request's id, depending on `kind`.
        std::uint64_t id;
        bool operator>(const Entry& other) const { return due > other.due; }
    };
    void run_due();

    const Clock& clock_;
    Callbacks callbacks_;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
    boost::asio::steady_timer wake_up_;
    // The time of the scheduled wake-up; the maximum value: none is scheduled.
    Micros armed_for_ = Micros::max();
};

}  // namespace gateway::server

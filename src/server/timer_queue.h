// The timers of the decision module and the deadlines of requests, on one timer of the event loop.
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

// A priority queue of clock times. Entries are never cancelled: the owner ignores those that no longer apply.
class TimerQueue {
  public:
    struct Callbacks {
        std::function<void(std::uint64_t token)> on_timer;                  // of the decision module
        std::function<void(decision::RequestId request)> on_deadline = {};  // of a request
    };

    // `clock` must outlive the queue.
    TimerQueue(boost::asio::io_context& io, const Clock& clock, Callbacks callbacks);

    // Both take clock times and take effect with the next `arm`.
    void add_timer(Micros due, std::uint64_t token);
    void add_deadline(Micros due, decision::RequestId request);
    // Schedules the wake-up for the earliest entry.
    void arm();

  private:
    struct Entry {
        enum class Kind { timer, deadline };
        Micros due;
        Kind kind;
        std::uint64_t id;  // a timer's token or a request's id
        bool operator>(const Entry& other) const { return due > other.due; }
    };
    void run_due();

    const Clock& clock_;
    Callbacks callbacks_;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
    boost::asio::steady_timer wake_up_;
    Micros armed_for_ = Micros::max();  // max: no wake-up is scheduled
};

}  // namespace gateway::server

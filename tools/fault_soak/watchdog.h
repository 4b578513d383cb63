// A timeout for the operations on a socket.
#pragma once

#include <memory>

#include "net.h"

namespace fault_soak {

// Closes a socket at a given time unless the watchdog is destroyed first. The socket must outlive the next
// turn of the io_context after that destruction, because a queued handler may still access the socket.
class Watchdog {
  public:
    Watchdog(asio::io_context& io, tcp::socket& socket, Time at)
        : timer_(std::make_shared<asio::steady_timer>(io, at)), fired_(std::make_shared<bool>(false)) {
        timer_->async_wait([&socket, fired = fired_, timer = timer_](error_code cancelled) {
            if (cancelled) return;
            *fired = true;
            error_code ignored;
            socket.close(ignored);
        });
    }
    ~Watchdog() { timer_->cancel(); }
    Watchdog(const Watchdog&) = delete;
    Watchdog& operator=(const Watchdog&) = delete;

    // Returns whether the watchdog has closed the socket.
    [[nodiscard]] bool fired() const noexcept { return *fired_; }

  private:
    std::shared_ptr<asio::steady_timer> timer_;
    std::shared_ptr<bool> fired_;
};

}  // namespace fault_soak

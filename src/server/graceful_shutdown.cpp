#include "graceful_shutdown.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace gateway::server {
using namespace std::chrono_literals;

namespace {
// Clients still connect for 0.4 s after SIGTERM, so the listener stays open longer than that.
constexpr std::chrono::milliseconds accept_time = 700ms;
constexpr std::chrono::milliseconds check_interval = 20ms;
// The time from SIGTERM to SIGKILL is the longest request deadline, of which at most 3 s count, plus 0.7 s.
// Requests still in flight are answered before SIGKILL, with the margin below.
constexpr Micros max_counted_deadline = 3s;
constexpr Micros margin_before_kill = 150ms;
// SIGKILL may come later than it has to, or not at all. Responses that are being written by then continue for
// at most this long after SIGTERM.
constexpr Micros max_response_time = 30s;
}  // namespace

GracefulShutdown::GracefulShutdown(boost::asio::io_context& io, const Dependencies& dependencies)
    : clock_(dependencies.clock),
      settings_(dependencies.settings),
      guard_(dependencies.guard),
      listeners_(dependencies.listeners),
      requests_(dependencies.requests),
      upgrade_(dependencies.upgrade),
      timer_(io) {}

void GracefulShutdown::start(Discovery& discovery, std::function<void()> on_drained) {
    if (on_drained_) return;
    discovery_ = &discovery;
    on_drained_ = std::move(on_drained);
    if (listeners_.clients() == nullptr) {
        on_drained_();
        return;
    }
    LogLine(LogLevel::info, "draining").with("requests", static_cast<std::int64_t>(requests_.in_flight()));
    listeners_.clients()->drain();
    latest_end_ = latest_end();
    latest_response_end_ = clock_.now() + max_response_time;
    check_after(accept_time);
}

Micros GracefulShutdown::latest_end() const {
    Micros longest_deadline{0};
    for (const decision::RequestClass& request_class : settings_.classes)
        longest_deadline = std::max(longest_deadline, request_class.deadline);
    return clock_.now() + accept_time + std::min(longest_deadline, max_counted_deadline) - margin_before_kill;
}

void GracefulShutdown::check_after(std::chrono::milliseconds delay) {
    timer_.expires_after(delay);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) check();
    });
}

void GracefulShutdown::check() {
    // A client that never completes its request does not delay the shutdown, and a request whose deadline is
    // later than the end of the shutdown is answered now.
    const bool time_over = clock_.now() >= latest_end_;
    ClientServer& clients = *listeners_.clients();
    if (time_over) {
        clients.stop_listening();
        requests_.refuse_all();
    }
    const bool has_work = time_over
                              ? clients.is_writing_responses() && clock_.now() < latest_response_end_
                              : !clients.is_idle() || clients.accept_backlog() || upgrade_.is_delivering();
    if (has_work) return check_after(check_interval);
    discovery_->stop();
    LogLine(LogLevel::info, "drained")
        .with("reason", time_over ? "time_over" : "quiet")
        .with("rule_violations", guard_.violations().total());
    on_drained_();
}

}  // namespace gateway::server

// What all decision modules share: the time of the event in hand, settings, random numbers, and the list of
// actions to which each module appends what is to be done.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "gateway/interface.h"

namespace gateway::decision {

using Actions = std::vector<Action>;

// What a timer is for. The values are part of the timers' tokens, which recorded days hold: their order
// stays.
enum class TimerKind {
    deadline,             // of a request: the client's time is over
    release,              // of a request: the warm-up limiter lets it go
    silence_check,        // of a request: its attempt should have been answered
    expiry,               // of a request: it waits for a host, a lease or a permit
    lease_request,        // of a lease request: its answer is due
    health_check,         // of a request: the health checks that it waits for are due
    flush,                // of a peer: its outbox goes
    heartbeat,            // of this gateway
    permit_renewal,       // of a customer: concurrency permits run out
    inherited_in_flight,  // of an upgrade: attempts of the former process count as ended
};

// Shared by reference; lives as long as the modules. Not copyable.
class Context {
  public:
    // Throws std::invalid_argument where the settings cannot work; its message names the setting.
    Context(Settings settings, std::uint64_t seed, Micros now);
    Context(const Context&) = delete;
    Context& operator=(const Context&) = delete;

    // Begins an event at clock time `now`; `actions` receives what the modules emit until the next event.
    void begin_event(Micros now, Actions& actions);

    [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
    [[nodiscard]] Micros now() const noexcept { return now_; }
    [[nodiscard]] Micros since(Micros earlier) const noexcept { return now_ - earlier; }

    // Time from which quotas refill from their start values: the start of this process, or of the one that it
    // has taken over from.
    [[nodiscard]] Micros started_at() const noexcept { return started_at_; }
    void restart_at(Micros time) noexcept { started_at_ = time; }

    // Whether another process has taken over, so that this one admits nothing.
    [[nodiscard]] bool handed_over() const noexcept { return handed_over_; }
    void set_handed_over(bool handed_over) noexcept { handed_over_ = handed_over; }

    // 64 random bits. Each draw counts: the order of draws decides on all later ones.
    [[nodiscard]] std::uint64_t random_bits() { return random_(); }
    // Uniform in [0, 1).
    [[nodiscard]] double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    // Odd, never 0, rising by 2 (modulo 2^32): tells a request to a peer from earlier ones.
    [[nodiscard]] std::uint32_t next_nonce() noexcept;

    template <class Emitted>
    void emit(Emitted action) {
        actions_->emplace_back(std::move(action));
    }
    // Asks for TimerFired after `wait`, 1 us at least. `subject`: what the timer is about, by its kind.
    void set_timer(Micros wait, std::uint64_t subject, TimerKind kind);

    // Whether this process has been held up lately. In the backlog found then, waiting looks like the silence
    // of others and answers look slow, so nothing is judged by it.
    [[nodiscard]] bool stalled() const noexcept;
    // The heartbeat timer has fired, or the first event has come: sets the next one.
    void heartbeat();
    [[nodiscard]] bool heartbeat_started() const noexcept { return last_heartbeat_ != Micros{0}; }
    [[nodiscard]] static Micros heartbeat_period() noexcept;

    // The snapshot's parts, in the codec's direction.
    void serialize_nonce(auto& codec) { codec(next_nonce_); }
    void serialize_start(auto& codec) { codec(started_at_); }

  private:
    const Settings settings_;
    std::mt19937_64 random_;
    Micros started_at_;
    Micros now_{0};
    Micros last_heartbeat_{0};
    Micros stall_ended_at_{0};  // the event in which a stall was noticed
    std::uint32_t next_nonce_ = 1;
    bool handed_over_ = false;
    Actions* actions_ = nullptr;
};

// A timer's token to its kind and subject, as `Context::set_timer` was given them.
struct TimerToken {
    TimerKind kind;
    std::uint64_t subject;
};
[[nodiscard]] TimerToken read_timer_token(std::uint64_t token) noexcept;

}  // namespace gateway::decision

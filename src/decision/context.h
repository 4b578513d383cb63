// The state that all decision modules share: the time of the current event, settings, random numbers, and the
// list to which each module appends its actions.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "gateway/interface.h"

namespace gateway::decision {

using Actions = std::vector<Action>;

// The purpose of a timer. The numeric values are part of the timer tokens, which recorded event sequences
// contain, so the order of the enumerators must not change. The subject of the timer's token is given in
// parentheses. For `request`, it is the id of the request.
enum class TimerKind {
    deadline,       // the client's deadline has passed (request)
    release,        // the warm-up limiter releases the request (request)
    silence_check,  // the answer to an attempt is overdue (request)
    // A request that waits for a host, a lease, a permit or the rest of an answer is checked again (request).
    expiry,
    lease_request,        // the answer to a lease request is overdue (nonce of the lease request)
    health_check,         // the results of health checks are overdue (request)
    flush,                // the outbox of a peer is sent (rank of the peer)
    heartbeat,            // the periodic heartbeat of this gateway (none)
    permit_renewal,       // concurrency permits have to be renewed (hash of the customer's name)
    inherited_in_flight,  // attempts of the predecessor process count as ended (none)
};

// Whether the subject of a timer of this kind is a request.
[[nodiscard]] constexpr bool belongs_to_request(TimerKind kind) {
    return kind == TimerKind::deadline || kind == TimerKind::release || kind == TimerKind::silence_check ||
           kind == TimerKind::expiry || kind == TimerKind::health_check;
}

// Shared by reference between the modules, which it must outlive.
class Context {
  public:
    // Throws std::invalid_argument if the settings are invalid; its message names the setting.
    Context(Settings settings, std::uint64_t seed, Micros now);
    Context(const Context&) = delete;
    Context& operator=(const Context&) = delete;

    // Begins an event at clock time `now`. Until the next event, the modules append their actions to
    // `actions`.
    void begin_event(Micros now, Actions& actions);

    [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
    [[nodiscard]] Micros now() const noexcept { return now_; }
    [[nodiscard]] Micros since(Micros earlier) const noexcept { return now_ - earlier; }

    // The time from which quotas refill, beginning at their start values: the start of this process, or of
    // the predecessor process that it took over from.
    [[nodiscard]] Micros started_at() const noexcept { return started_at_; }
    void restart_at(Micros time) noexcept { started_at_ = time; }

    // Whether another process has taken over, so that this process admits no request.
    [[nodiscard]] bool handed_over() const noexcept { return handed_over_; }
    void set_handed_over(bool handed_over) noexcept { handed_over_ = handed_over; }

    // 64 random bits. Each call advances the generator, so the order of calls determines all later values.
    [[nodiscard]] std::uint64_t random_bits() { return random_(); }
    // Uniform in [0, 1).
    [[nodiscard]] double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    // A number that distinguishes a request to a peer from earlier ones. Odd, never 0, and increasing by 2
    // (modulo 2^32).
    [[nodiscard]] std::uint32_t next_nonce() noexcept;

    template <class Emitted>
    void emit(Emitted action) {
        actions_->emplace_back(std::move(action));
    }
    // Starts a timer that fires after `wait`, but at least 1 us. The timer's kind defines the meaning of
    // `subject`.
    void set_timer(Micros wait, std::uint64_t subject, TimerKind kind);

    // Whether this process was stalled until the current event. After a stall, queued events make hosts and
    // peers look silent and answers look slow, so the caller must not judge hosts or peers by them.
    [[nodiscard]] bool stalled() const noexcept;
    // Records a heartbeat and sets the next heartbeat timer. Called for the first event and when the timer
    // fires.
    void heartbeat();
    [[nodiscard]] bool heartbeat_started() const noexcept { return last_heartbeat_ != Micros{0}; }
    [[nodiscard]] static Micros heartbeat_period() noexcept;

    // Save or restore parts of the snapshot, depending on the codec.
    void serialize_nonce(auto& codec) { codec(next_nonce_); }
    void serialize_start(auto& codec) { codec(started_at_); }

  private:
    const Settings settings_;
    std::mt19937_64 random_;
    Micros started_at_;
    Micros now_{0};
    Micros last_heartbeat_{0};
    Micros stall_ended_at_{0};  // time of the latest event that detected a stall
    std::uint32_t next_nonce_ = 1;
    bool handed_over_ = false;
    Actions* actions_ = nullptr;
};

// Kind and subject of a timer, as passed to `Context::set_timer`.
struct TimerToken {
    TimerKind kind;
    std::uint64_t subject;
};
[[nodiscard]] TimerToken read_timer_token(std::uint64_t token) noexcept;

}  // namespace gateway::decision

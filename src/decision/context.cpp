#include "context.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr std::uint64_t timer_kind_count = 10;
static_assert(static_cast<std::uint64_t>(TimerKind::inherited_in_flight) + 1 == timer_kind_count);
constexpr Micros heartbeat_interval = 100ms;
// The process was stalled if no heartbeat occurred for longer than this time.
constexpr Micros stall_threshold = 300ms;

void require(bool condition, const char* message) {
    if (!condition) throw std::invalid_argument(message);
}

void validate(const Settings& settings) {
    require(settings.rank >= 0 && settings.rank < settings.instances,
            "settings: rank must be from 0 to instances - 1");
    require(settings.max_attempts >= 1, "settings: max_attempts must be at least 1");
    for (const Plan& plan : settings.plans)
        require(std::min({plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst}) >= 0,
                "settings: rate, burst, ceiling_rate and ceiling_burst of a plan must not be negative");
    for (const RequestClass& request_class : settings.classes)
        require(request_class.deadline > 0us && request_class.latency_objective > 0us,
                "settings: latency_objective and deadline of a request class must be above 0");
}
}  // namespace

Context::Context(Settings settings, std::uint64_t seed, Micros now)
    : settings_(std::move(settings)), random_(seed), started_at_(now) {
    validate(settings_);
    next_nonce_ = static_cast<std::uint32_t>(random_()) | 1;
}

void Context::begin_event(Micros now, Actions& actions) {
    now_ = now;
    actions_ = &actions;
}

std::uint32_t Context::next_nonce() noexcept { return std::exchange(next_nonce_, next_nonce_ + 2); }

void Context::set_timer(Micros wait, std::uint64_t subject, TimerKind kind) {
    const std::uint64_t token = subject * timer_kind_count + static_cast<std::uint64_t>(kind);
    emit(SetTimer{std::max(wait, 1us), token});
}

bool Context::stalled() const noexcept {
    return now_ == stall_ended_at_ || now_ - last_heartbeat_ > stall_threshold;
}

void Context::heartbeat() {
    if (heartbeat_started() && stalled()) stall_ended_at_ = now_;
    last_heartbeat_ = now_;
    set_timer(heartbeat_interval, 0, TimerKind::heartbeat);
}

Micros Context::heartbeat_period() noexcept { return heartbeat_interval; }

TimerToken read_timer_token(std::uint64_t token) noexcept {
    return {static_cast<TimerKind>(token % timer_kind_count), token / timer_kind_count};
}

}  // namespace gateway::decision

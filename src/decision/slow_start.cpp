#include "slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "host_index.h"
#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// A warming host may get this fraction of the load that would overload it. That load is the rate of a warm
// host times the warming host's capacity share and `Settings::overload_multiple`.
constexpr double safety_factor = 0.4;
// Longest time since the host was last considered that counts towards its probability of admission.
constexpr Micros max_accrual_time = 5s;
// A computed warm rate is reused for this time.
constexpr Micros warm_rate_lifetime = 50ms;
constexpr double min_units = 1e-3;
// Lower bound, in seconds, of the time since `Context::started_at` in the computation of the warm rate.
constexpr double min_age_s = 0.1;
}  // namespace

double SlowStart::capacity_share(const Host& host) const {
    const Settings& settings = context_.settings();
    if (host.entry.started <= 0us || settings.slow_start_time <= 0us) return 1;
    const double age = to_seconds(context_.since(host.entry.started)) / to_seconds(settings.slow_start_time);
    if (age >= 1) return 1;
    return settings.slow_start_capacity + (1 - settings.slow_start_capacity) * std::max(0.0, age);
}

bool SlowStart::admits(Host& host, double units) {
    const double rate =
        safety_factor * context_.settings().overload_multiple * capacity_share(host) * warm_rate();
    const Micros last = std::exchange(host.slow_start.considered_at, context_.now());
    const Micros span = std::min(context_.since(last), max_accrual_time);
    return context_.uniform() * std::max(units, min_units) < rate * to_seconds(span);
}

// Divides the units a second that were recently sent to the warm hosts by the number of warm hosts plus one.
// Only hosts that are warm now count: an average over all hosts would keep warming hosts nearly idle just
// when few warm hosts carry the whole load.
double SlowStart::warm_rate() {
    if (context_.since(warm_rate_at_) < warm_rate_lifetime && warm_rate_at_ > 0us) return warm_rate_;
    warm_rate_at_ = context_.now();
    promote_warmed_up_hosts();
    // In a process that has started recently, the counter covers less time than its memory.
    const double age_s = std::max(to_seconds(context_.since(context_.started_at())), min_age_s);
    const double span_s = sent_memory_s * (1 - std::exp(-age_s / sent_memory_s));
    const double sent = std::max(0.0, warm_units_sent_.value(context_.now(), sent_memory_s));
    warm_rate_ = sent / (span_s * (static_cast<double>(warm_count_) + 1));
    return warm_rate_;
}

void SlowStart::record_sent(Host& host, double units) {
    host.slow_start.units_sent.add(units, context_.now(), sent_memory_s);
    if (host.slow_start.counted_as_warm) warm_units_sent_.add(units, context_.now(), sent_memory_s);
}

void SlowStart::update(Host& host) {
    remove(host);
    if (!host.usable()) return;
    const bool warms_up = host.entry.started > 0us && context_.settings().slow_start_time > 0us;
    SlowStartState& state = host.slow_start;
    state.warm_at = warms_up ? host.entry.started + context_.settings().slow_start_time : 0us;
    if (state.warm_at <= context_.now()) return add_warm_host(host);
    state.in_warming_set = true;
    warming_.insert(&host);
}

void SlowStart::remove(Host& host) {
    SlowStartState& state = host.slow_start;
    if (std::exchange(state.in_warming_set, false)) warming_.erase(&host);
    if (!std::exchange(state.counted_as_warm, false)) return;
    --warm_count_;
    warm_units_sent_.add(-state.units_sent.value(context_.now(), sent_memory_s), context_.now(),
                         sent_memory_s);
}

void SlowStart::refresh() {
    promote_warmed_up_hosts();
    warm_rate_at_ = 0us;
}

void SlowStart::promote_warmed_up_hosts() {
    while (!warming_.empty() && (*warming_.begin())->slow_start.warm_at <= context_.now()) {
        Host& host = **warming_.begin();
        warming_.erase(warming_.begin());
        host.slow_start.in_warming_set = false;
        add_warm_host(host);
    }
}

void SlowStart::add_warm_host(Host& host) {
    host.slow_start.counted_as_warm = true;
    ++warm_count_;
    warm_units_sent_.add(host.slow_start.units_sent.value(context_.now(), sent_memory_s), context_.now(),
                         sent_memory_s);
}

bool SlowStart::ByWarmTime::operator()(const Host* left, const Host* right) const {
    const Micros left_at = left->slow_start.warm_at;
    const Micros right_at = right->slow_start.warm_at;
    if (left_at != right_at) return left_at < right_at;
    return ByOrderKey{}(left, right);
}

}  // namespace gateway::decision

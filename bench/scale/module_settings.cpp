#include "module_settings.h"

namespace gateway::scale {
using namespace decision;
using namespace std::chrono_literals;

namespace {
// Quota in units per second. This rate and burst are those of the largest plan at the site of the first
// deployment.
constexpr double plan_rate = 50;
// Size of the quota's token bucket, in seconds of `plan_rate`.
constexpr double plan_burst_s = 2;
constexpr int hosts_per_cell = 8;
// Host numbers start at this value, so that all host names have the same length.
constexpr int first_host_number = 1000000;
}  // namespace

decision::Settings module_settings(int rank, int instances) {
    Settings settings;
    settings.rank = rank;
    settings.instances = instances;
    settings.zone = "zone-0";
    settings.classes = {
        {"lookup", Idempotency::idempotent, DeduplicationScope::all, 250ms, 600ms, 0us, 1, 0},
        {"issue", Idempotency::not_idempotent, DeduplicationScope::all, 800ms, 2s, 0us, 5, 0},
    };
    Plan plan;
    plan.name = "standard";
    plan.rate = plan_rate;
    plan.burst = plan_rate * plan_burst_s;
    settings.plans = {plan};
    settings.max_attempts = 3;
    settings.may_cancel = true;
    settings.may_message_peers = true;
    settings.may_send_retry_after = true;
    settings.messages_per_s = 40;
    settings.max_units = 6;
    settings.tick = 2ms;
    settings.connect_timeout = 250ms;
    settings.slow_start_time = 10s;
    settings.overload_time = 1s;
    settings.overload_multiple = 2.5;
    settings.slow_start_capacity = 0.15;
    return settings;
}

decision::HostEntry host_entry(int number, int zones, int generation) {
    HostEntry entry;
    entry.host = "s-" + std::to_string(first_host_number + number) + '-' + std::to_string(generation);
    entry.zone = "zone-" + std::to_string(number % zones);
    entry.kind = "std-2c";
    entry.cell = number / hosts_per_cell;
    return entry;
}

}  // namespace gateway::scale

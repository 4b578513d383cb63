#include "quota_ledger.h"

#include <algorithm>
#include <utility>

#include "lease_holder.h"
#include "tuning.h"

namespace gateway::decision {
namespace {
// Longest wait in seconds that an empty grant reports.
constexpr double max_wait_s = 60;
// Minimum rate in units per second. Keeps quotients finite.
constexpr double min_rate = 1e-9;
}  // namespace

QuotaLedger::Ledger& QuotaLedger::find_or_create(std::uint32_t customer, const Plan& plan) {
    auto [entry, created] = ledgers_.try_emplace(customer);
    Ledger& ledger = entry->second;
    if (created) {
        ledger.tokens = initial_burst_share * plan.burst;
        ledger.refilled_at = context_.started_at();
    }
    return ledger;
}

// A fallback holder keeps a smaller burst and grants no units of the ceiling, because the lease holder
// manages them.
void QuotaLedger::refill(Ledger& ledger, const Plan& plan, bool is_holder) {
    const double elapsed_s = to_seconds(context_.since(std::exchange(ledger.refilled_at, context_.now())));
    const double capacity = plan.burst * (is_holder ? 1 : initial_burst_share);
    ledger.tokens = std::min(capacity, ledger.tokens + elapsed_s * plan.rate);
    if (!is_holder) return;
    ledger.ceiling_tokens =
        std::min(holder_ceiling_share * plan.ceiling_burst,
                 ledger.ceiling_tokens + elapsed_s * holder_ceiling_share * plan.ceiling_rate);
}

// Schedules the retries of rejected gateways one after the other. Otherwise all of them would request the
// same units at the same time, repeatedly, and exceed this gateway's receive rate.
Micros QuotaLedger::schedule_retry(Ledger& ledger, const Plan& plan, double required) {
    const double rate = std::max(plan.rate, min_rate);
    const Micros next_slot = ledger.retries_scheduled_until + to_micros(required / rate);
    const double missing_s = (required - ledger.tokens) / rate;
    ledger.retries_scheduled_until = std::max(context_.now() + to_micros(missing_s), next_slot);
    return ledger.retries_scheduled_until - context_.now();
}

LeaseGrant QuotaLedger::grant(const LeaseRequest& request) {
    const Settings& settings = context_.settings();
    const Plan& plan = settings.plans[static_cast<std::size_t>(request.plan)];
    Ledger& ledger = find_or_create(request.customer, plan);
    const CustomerSet set{request.customer, request.set_size, request.set_start};
    refill(ledger, plan, lease_holder(settings, set) == settings.rank);
    ledger.demand.add(request.required_units + request.prefetch_units, context_.now(), demand_memory_s);

    LeaseGrant grant{request.nonce};
    grant.demand = ledger.demand.value(context_.now(), demand_memory_s) / demand_memory_s;
    double wait_s = 0;
    if (request.required_units > ledger.tokens)
        wait_s = to_seconds(schedule_retry(ledger, plan, request.required_units));
    if (ledger.ceiling_tokens < request.ceiling_units)
        wait_s = std::max(
            wait_s, (request.ceiling_units - ledger.ceiling_tokens) / std::max(plan.ceiling_rate, min_rate));
    if (wait_s > 0) {
        grant.retry_after_ms = static_cast<std::uint32_t>(std::min(wait_s, max_wait_s) * 1e3) + 1;
        return grant;
    }
    grant.units = request.required_units +
                  std::clamp((ledger.tokens - request.required_units) / 2, 0.0, request.prefetch_units);
    grant.ceiling_units = request.ceiling_units;
    ledger.tokens -= grant.units;
    ledger.ceiling_tokens -= grant.ceiling_units;
    return grant;
}

std::vector<PermitHolder>& QuotaLedger::permit_holders(std::uint32_t customer, const Plan& plan) {
    return find_or_create(customer, plan).permit_holders;
}

void QuotaLedger::expire_idle(Micros idle_timeout) {
    std::erase_if(ledgers_, [&](const auto& entry) {
        return context_.since(entry.second.refilled_at) >= idle_timeout;
    });
}

}  // namespace gateway::decision

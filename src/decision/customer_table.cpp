#include "customer_table.h"

#include <algorithm>

#include "name_hash.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr Micros min_idle_timeout = 10s;

Micros longest_refill(const Settings& settings) {
    Micros longest = min_idle_timeout;
    for (const Plan& plan : settings.plans) {
        if (plan.rate > 0) longest = std::max(longest, to_micros(plan.burst / plan.rate));
        if (plan.ceiling_rate > 0)
            longest = std::max(longest, to_micros(plan.ceiling_burst / plan.ceiling_rate));
    }
    return longest;
}

bool has_work(const Customer& customer) {
    const QuotaState& quota = customer.quota;
    return customer.requests != 0 || customer.permits.in_flight != 0 || quota.pending_nonce != 0 ||
           quota.prefetching || quota.overdue != 0;
}
}  // namespace

CustomerTable::CustomerTable(const Context& context)
    : context_(context), idle_timeout_(longest_refill(context.settings())) {}

Customer& CustomerTable::find_or_create(const RequestArrived& request) {
    const int instances = context_.settings().instances;
    auto [entry, created] = customers_.try_emplace(request.customer);
    Customer& customer = entry->second;
    if (created) {
        customer.hash = name_hash(request.customer);
        customer.plan = request.plan;
        // This gateway's share of the ceiling is empty at the start of the process and refills from then on,
        // because the predecessor process may have spent all of it.
        customer.quota.refilled_at = context_.started_at();
    }
    customer.set_size = std::max(customer.set_size, std::clamp(request.set_size, 1, instances));
    customer.set_start = ((request.set_start % instances) + instances) % instances;
    customer.last_used_at = context_.now();
    return customer;
}

Customer* CustomerTable::find(std::uint32_t hash) {
    const auto found = std::find_if(customers_.begin(), customers_.end(),
                                    [hash](const auto& entry) { return entry.second.hash == hash; });
    return found == customers_.end() ? nullptr : &found->second;
}

void CustomerTable::expire_idle() {
    std::erase_if(customers_, [this](const auto& entry) {
        const Customer& customer = entry.second;
        return context_.since(customer.last_used_at) >= idle_timeout_ && !has_work(customer);
    });
}

}  // namespace gateway::decision

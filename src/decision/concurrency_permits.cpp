#include "concurrency_permits.h"

#include <algorithm>
#include <cmath>

#include "lease_holder.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// A lent permit expires after this time.
constexpr Micros permit_lifetime = 1s;
// A gateway renews its permits when this time has passed since its latest request.
constexpr Micros renewal_period = 250ms;
}  // namespace

int ConcurrencyPermits::holder(const Customer& customer) const {
    return lease_holder(context_.settings(), {customer.hash, customer.set_size, customer.set_start});
}

bool ConcurrencyPermits::borrows(const Customer& customer) const {
    const Settings& settings = context_.settings();
    const Plan& plan = *plan_of(settings, customer);
    if (customer.set_size <= 2 * plan.max_concurrency || !settings.may_message_peers) return false;
    const int to = holder(customer);
    return to == settings.rank || !messenger_.is_silent(to);
}

// Rounds the share down, because shares rounded up would exceed the limit in total. Each gateway has at least
// one permit.
double ConcurrencyPermits::permits(const Customer& customer) const {
    if (borrows(customer)) {
        const PermitState& state = customer.permits;
        return context_.now() < state.valid_until ? state.granted : 0;
    }
    const int limit = plan_of(context_.settings(), customer)->max_concurrency;
    return std::max(1.0, std::floor(limit * leases_.demand_share(customer)));
}

bool ConcurrencyPermits::available(const Customer& customer) const {
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan || plan->max_concurrency <= 0) return true;
    return customer.permits.in_flight + customer.permits.admitted < permits(customer);
}

Micros ConcurrencyPermits::expected_wait(const Customer& customer, double response_s) const {
    const PermitState& state = customer.permits;
    const double position = 1 + static_cast<double>(state.waiting.size()) + state.queue_length;
    return to_micros(response_s * position / plan_of(context_.settings(), customer)->max_concurrency);
}

std::optional<PermitGrant> ConcurrencyPermits::request(Customer& customer, bool renew) {
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan || plan->max_concurrency <= 0) return std::nullopt;
    if (context_.handed_over() || !borrows(customer)) return std::nullopt;
    PermitState& state = customer.permits;
    const int needed = state.in_flight + state.admitted + static_cast<int>(state.waiting.size());
    const int requested = std::min(plan->max_concurrency, needed);
    if (requested == state.requested && !renew) return std::nullopt;
    state.requested = requested;
    state.granted = std::min(state.granted, requested);
    state.requested_at = context_.now();
    // An outdated queue length would reject the next request.
    if (requested == 0) state.queue_length = 0;
    state.nonce = context_.next_nonce();
    const PermitRequest request{state.nonce,       customer.hash,      customer.plan,
                                customer.set_size, customer.set_start, requested};
    if (requested > 0) context_.set_timer(renewal_period, customer.hash, TimerKind::permit_renewal);
    const int to = holder(customer);
    if (to == context_.settings().rank) return lend(request, to);
    messenger_.post(to, request, true);
    return std::nullopt;
}

bool ConcurrencyPermits::renewal_due(const Customer& customer) {
    const PermitState& state = customer.permits;
    if (state.requested == 0 || context_.since(state.requested_at) < renewal_period || !borrows(customer))
        return false;
    const int to = holder(customer);
    if (to != context_.settings().rank && !context_.stalled())
        messenger_.record_unanswered(to, state.requested_at);
    return true;
}

void ConcurrencyPermits::reset(Customer& customer) {
    customer.permits.requested = 0;
    customer.permits.queue_length = 0;
}

// Nonces increase modulo 2^32, so the sign of the difference shows which of two requests is older.
bool ConcurrencyPermits::is_superseded(const PermitRequest& request, const PermitHolder& holder) {
    return static_cast<std::int32_t>(request.nonce - holder.nonce) < 0;
}

std::optional<PermitGrant> ConcurrencyPermits::lend(const PermitRequest& request, int from) {
    const Plan& plan = context_.settings().plans[static_cast<std::size_t>(request.plan)];
    std::vector<PermitHolder>& holders = ledger_.permit_holders(request.customer, plan);
    std::erase_if(holders,
                  [this](const PermitHolder& holder) { return holder.valid_until <= context_.now(); });
    auto requester = std::find_if(holders.begin(), holders.end(),
                                  [&](const PermitHolder& holder) { return holder.rank == from; });
    if (requester == holders.end()) requester = holders.insert(requester, {from, request.nonce});
    else if (is_superseded(request, *requester)) return std::nullopt;
    if (requester->granted == requester->requested) {
        std::rotate(requester, requester + 1, holders.end());
        requester = holders.end() - 1;
    }
    requester->nonce = request.nonce;
    requester->requested = request.requested;
    requester->granted = std::min(requester->granted, request.requested);
    requester->valid_until = context_.now() + permit_lifetime;

    int free = plan.max_concurrency;
    int queue_length = 0;
    for (const PermitHolder& holder : holders) {
        free -= holder.granted;
        queue_length += holder.requested - holder.granted;
    }
    std::optional<PermitGrant> own_grant;
    for (PermitHolder& holder : holders) {
        const bool receives_permit = free > 0 && holder.granted < holder.requested;
        if (receives_permit) {
            ++holder.granted;
            --free;
            --queue_length;
        }
        if (holder.requested == 0 || !(receives_permit || holder.rank == from)) continue;
        const PermitGrant grant{holder.nonce, request.customer, holder.granted, queue_length};
        if (holder.rank == context_.settings().rank) own_grant = grant;
        else messenger_.post(holder.rank, grant, true);
    }
    return own_grant;
}

bool ConcurrencyPermits::accept(Customer& customer, const PermitGrant& grant, int from) {
    PermitState& state = customer.permits;
    if (grant.nonce != state.nonce || from != holder(customer)) return false;
    state.granted = std::min(grant.granted, state.requested);
    state.queue_length = grant.queue_length;
    state.valid_until = state.requested_at + permit_lifetime;
    return true;
}

}  // namespace gateway::decision

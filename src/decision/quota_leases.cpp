#include "quota_leases.h"

#include <algorithm>
#include <utility>

#include "lease_holder.h"
#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// Number of gateways that can grant a customer's leases: the lease holder and its fallback holders.
constexpr int holder_count = 3;
// Maximum number of lease requests for one waiting request.
constexpr int max_lease_requests = 4;
// A lease request that is unanswered after this time counts as lost.
constexpr Micros grant_timeout = 150ms;
// A lease request covers the demand at this gateway for this number of seconds.
constexpr double prefetch_s = 0.5;
// A prefetch requests this multiple of that demand, or of the latest request's units if they are more.
constexpr double prefetch_factor = 3;
// Minimum rate in units per second. Keeps quotients finite.
constexpr double min_rate = 1e-9;
}  // namespace

int QuotaLeases::holder(const Customer& customer, int fallback) const {
    return lease_holder(context_.settings(), {customer.hash, customer.set_size, customer.set_start},
                        fallback);
}

// The even share of the part of the ceiling that the lease holder does not manage. `ceiling` is the rate or
// the burst of the ceiling.
double QuotaLeases::even_ceiling(const Customer& customer, double ceiling) {
    return ceiling * (1 - holder_ceiling_share) / customer.set_size;
}

void QuotaLeases::refill(Customer& customer) {
    QuotaState& quota = customer.quota;
    const double elapsed_s = to_seconds(context_.since(std::exchange(quota.refilled_at, context_.now())));
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan || plan->ceiling_rate <= 0) return;
    quota.ceiling_tokens += std::min(even_ceiling(customer, plan->ceiling_burst) - quota.ceiling_tokens,
                                     elapsed_s * even_ceiling(customer, plan->ceiling_rate));
}

void QuotaLeases::record_demand(Customer& customer, double units) {
    customer.quota.demand.add(units, context_.now(), demand_memory_s);
}

double QuotaLeases::demand_share(const Customer& customer) const {
    const QuotaState& quota = customer.quota;
    const double even_share = 1.0 / customer.set_size;
    const double own_demand = quota.demand.value(context_.now(), demand_memory_s) / demand_memory_s;
    if (quota.fleet_demand_at <= 0us || context_.since(quota.fleet_demand_at) > sweep_period)
        return even_share;
    return std::clamp(own_demand / std::max({own_demand, quota.fleet_demand, min_rate}), even_share, 1.0);
}

double QuotaLeases::deficit(const Customer& customer, double units) const {
    const Plan& plan = *plan_of(context_.settings(), customer);
    return plan.rate > 0 ? std::max(0.0, units - customer.quota.tokens) : 0;
}

double QuotaLeases::ceiling_deficit(const Customer& customer, double units) const {
    const Plan& plan = *plan_of(context_.settings(), customer);
    const QuotaState& quota = customer.quota;
    return plan.ceiling_rate > 0 ? std::max(0.0, units - (quota.ceiling_tokens - quota.ceiling_reserved)) : 0;
}

bool QuotaLeases::covers(const Customer& customer, double units) const {
    if (!plan_of(context_.settings(), customer)) return true;
    return deficit(customer, units) <= 0 && ceiling_deficit(customer, units) <= 0;
}

std::optional<Micros> QuotaLeases::exhausted_for(const Customer& customer, double units) const {
    const QuotaState& quota = customer.quota;
    if (context_.now() >= quota.exhausted_until || units < quota.exhausted_for_units) return std::nullopt;
    return quota.exhausted_until - context_.now();
}

Micros QuotaLeases::mark_exhausted(Customer& customer, const LeaseGrant& empty_grant) {
    const Micros wait = std::max(grant_timeout, Micros(empty_grant.retry_after_ms * 1000));
    customer.quota.exhausted_until = context_.now() + wait;
    return wait;
}

void QuotaLeases::record_rejected(Customer& customer, double units) {
    customer.quota.exhausted_for_units = units;
}

double QuotaLeases::upcoming_demand(const Customer& customer) const {
    return customer.quota.demand.value(context_.now(), demand_memory_s) / demand_memory_s * prefetch_s;
}

LeaseAnswer QuotaLeases::acquire(Customer& customer, double units) {
    const Settings& settings = context_.settings();
    QuotaState& quota = customer.quota;
    LeaseRequest request{0,
                         customer.hash,
                         customer.plan,
                         customer.set_size,
                         customer.set_start,
                         deficit(customer, units),
                         0,
                         ceiling_deficit(customer, units)};
    request.prefetch_units = std::max(0.0, upcoming_demand(customer) - units);
    for (int fallback = 0; fallback < holder_count && quota.lease_requests_sent < max_lease_requests;
         ++fallback) {
        const int to = holder(customer, fallback);
        if (to == settings.rank) return ledger_.grant(request);
        if (!settings.may_message_peers || messenger_.is_silent(to)) continue;
        ++quota.lease_requests_sent;
        quota.pending_nonce = send_request(customer, to, request, false);
        return LeaseRequested{};
    }
    quota.lease_requests_sent = 0;
    return NoLeaseHolder{};
}

std::uint32_t QuotaLeases::send_request(Customer& customer, int to, LeaseRequest request, bool prefetch) {
    request.nonce = context_.next_nonce();
    messenger_.post(to, request, !prefetch);
    // The timeout starts when the request leaves the outbox.
    const Micros queued = messenger_.queueing_delay(to);
    pending_[request.nonce] = {&customer, to, context_.now() + queued, prefetch};
    const Micros batched = prefetch ? messenger_.batching_delay() : 0us;
    context_.set_timer(grant_timeout + queued + batched, request.nonce, TimerKind::lease_request);
    return request.nonce;
}

void QuotaLeases::prefetch(Customer& customer, double units) {
    const Settings& settings = context_.settings();
    QuotaState& quota = customer.quota;
    const Plan* plan = plan_of(settings, customer);
    if (!plan || plan->rate <= 0 || quota.prefetching) return;
    if (context_.now() < quota.exhausted_until || context_.handed_over()) return;
    const double expected_units = std::max(units, upcoming_demand(customer));
    const int to = holder(customer, 0);
    // Limits the prefetched units of all gateways of the set to one burst in total, because the customer's
    // token bucket holds no more than a burst.
    const double limit = plan->burst / customer.set_size;
    if (quota.tokens >= expected_units || limit < units || to == settings.rank) return;
    if (!settings.may_message_peers || messenger_.is_silent(to)) return;
    const double prefetch_units = std::min(prefetch_factor * expected_units, limit);
    const LeaseRequest request{0,
                               customer.hash,
                               customer.plan,
                               customer.set_size,
                               customer.set_start,
                               0,
                               prefetch_units,
                               ceiling_deficit(customer, units)};
    quota.prefetching = true;
    send_request(customer, to, request, true);
}

void QuotaLeases::credit(Customer& customer, const LeaseGrant& grant) {
    const Plan& plan = *plan_of(context_.settings(), customer);
    QuotaState& quota = customer.quota;
    refill(customer);
    quota.tokens = std::min(quota.tokens + grant.units, std::max(plan.burst, quota.tokens));
    quota.ceiling_tokens =
        std::min(quota.ceiling_tokens + grant.ceiling_units, even_ceiling(customer, plan.ceiling_burst));
    quota.fleet_demand = grant.demand;
    quota.fleet_demand_at = context_.now();
}

Micros QuotaLeases::ceiling_wait(const Customer& customer, double units) const {
    const Plan& plan = *plan_of(context_.settings(), customer);
    return to_micros(ceiling_deficit(customer, units) / even_ceiling(customer, plan.ceiling_rate));
}

std::optional<Micros> QuotaLeases::take_even_slice(Customer& customer, double units) {
    QuotaState& quota = customer.quota;
    const Plan& plan = *plan_of(context_.settings(), customer);
    const Micros now = context_.now();
    const Micros wait = quota.even_slice_at - now;
    if (ceiling_deficit(customer, units) > 0) return ceiling_wait(customer, units);
    const double missing = deficit(customer, units);
    if (missing <= 0) return std::nullopt;
    if (wait > 0us) return wait;
    quota.even_slice_at = std::max(quota.even_slice_at, now) +
                          to_micros(units * customer.set_size / std::max(plan.rate, min_rate));
    quota.tokens += missing;
    return std::nullopt;
}

void QuotaLeases::reserve(Customer& customer, double units, bool within_quota) {
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan) return;
    if (plan->rate > 0 && within_quota) customer.quota.tokens -= units;
    if (plan->ceiling_rate > 0) customer.quota.ceiling_reserved += units;
}

void QuotaLeases::spend_ceiling(Customer& customer, double units) {
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan || plan->ceiling_rate <= 0) return;
    refill(customer);
    customer.quota.ceiling_tokens -= units;
    customer.quota.ceiling_reserved -= units;
}

void QuotaLeases::release(Customer& customer, double units, bool within_quota) {
    const Plan* plan = plan_of(context_.settings(), customer);
    if (!plan) return;
    if (within_quota && plan->rate > 0) customer.quota.tokens += units;
    if (plan->ceiling_rate > 0) customer.quota.ceiling_reserved -= units;
}

void QuotaLeases::correct(Customer& customer, double reserved, double actual) {
    customer.quota.tokens += reserved - actual;
}

std::optional<AcceptedGrant> QuotaLeases::accept(int from, LeaseGrant grant) {
    const auto lease = pending_.find(grant.nonce);
    if (lease == pending_.end() || lease->second.to != from) return std::nullopt;
    // The lease holder's share of the ceiling may have refilled since the request was sent.
    if (context_.since(lease->second.sent_at) > 2 * grant_timeout) grant.ceiling_units = 0;
    const bool for_waiting_request = !lease->second.overdue && !lease->second.prefetch;
    return AcceptedGrant{&close(lease), grant, for_waiting_request};
}

Customer* QuotaLeases::on_timeout(std::uint32_t nonce) {
    const auto found = pending_.find(nonce);
    if (found == pending_.end()) return nullptr;
    if (context_.stalled()) {
        context_.set_timer(grant_timeout, nonce, TimerKind::lease_request);
        return nullptr;
    }
    PendingLease& lease = found->second;
    messenger_.record_unanswered(lease.to, lease.sent_at);
    QuotaState& quota = lease.customer->quota;
    lease.overdue = true;
    ++quota.overdue;
    if (lease.prefetch) {
        quota.prefetching = false;
        return nullptr;
    }
    quota.pending_nonce = 0;
    return lease.customer;
}

Customer& QuotaLeases::close(PendingLeases::iterator lease) {
    Customer& customer = *lease->second.customer;
    if (lease->second.overdue) --customer.quota.overdue;
    else if (lease->second.prefetch) customer.quota.prefetching = false;
    else customer.quota.pending_nonce = 0;
    pending_.erase(lease);
    return customer;
}

void QuotaLeases::expire_overdue() {
    for (auto lease = pending_.begin(); lease != pending_.end();) {
        const auto current = lease++;  // the iteration order is irrelevant, because no action is emitted
        if (current->second.overdue && context_.since(current->second.sent_at) >= sweep_period)
            close(current);
    }
}

void QuotaLeases::abandon_requests(Customer& customer) {
    customer.quota.pending_nonce = 0;
    customer.quota.prefetching = false;
    customer.quota.overdue = 0;
}

void QuotaLeases::reset(Customer& customer) {
    QuotaState& quota = customer.quota;
    quota.refilled_at = context_.now();
    quota.tokens = 0;
    quota.ceiling_tokens = quota.ceiling_reserved;
}

void QuotaLeases::spend_inherited_reservations(Customer& customer) {
    QuotaState& quota = customer.quota;
    quota.ceiling_tokens -= std::exchange(quota.ceiling_reserved, 0);
}

}  // namespace gateway::decision

// Implements the first part of RequestFlow: from a request's arrival until it is admitted or rejected.
#include <algorithm>
#include <utility>
#include <variant>

#include "request_flow.h"
#include "tuning.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// The latest start of a request leaves time for the answer: `response_margin` times the expected response
// time, but at most `max_margin_share` of the time left until the latency objective.
constexpr double response_margin = 1.3;
constexpr double max_margin_share = 0.8;
// Inherited attempts count as in flight for this multiple of the mean response time.
constexpr double inherited_responses = 2;
}  // namespace

RequestFlow::RequestFlow(Modules& modules) : context_(modules.context), modules_(modules) {}

void RequestFlow::on_arrived(const RequestArrived& arrival) {
    const Settings& settings = context_.settings();
    const bool known_class =
        arrival.request_class >= 0 && arrival.request_class < static_cast<int>(settings.classes.size());
    const bool known_plan = arrival.plan < static_cast<int>(settings.plans.size());
    if (!known_class || !known_plan || requests_.contains(arrival.id)) return;
    if (arrival.time_left <= min_ticks_left * settings.tick)
        return context_.emit(RejectRequest{arrival.id, 0us, RejectionReason::expired_on_arrival});
    if (context_.handed_over())
        return context_.emit(RejectRequest{arrival.id, 0us, RejectionReason::handed_over});
    Request& request = create(arrival);
    context_.set_timer(arrival.time_left - min_ticks_left * settings.tick, arrival.id, TimerKind::deadline);
    seek_admission(request);
}

Request& RequestFlow::create(const RequestArrived& arrival) {
    Customer& customer = modules_.customers.find_or_create(arrival);
    modules_.leases.refill(customer);
    Request request;
    request.arrival = arrival;
    request.arrival.units = std::max(0.0, arrival.units);
    request.customer = &customer;
    request.deadline = context_.now() + arrival.time_left;
    request.latest_start = latest_start(request.arrival);
    const int plans = static_cast<int>(context_.settings().plans.size());
    request.traffic_class = arrival.request_class * (plans + 1) + arrival.plan + 1;
    modules_.leases.record_demand(customer, request.arrival.units);
    modules_.health_checker.credit_request();
    ++customer.requests;
    return requests_.emplace(arrival.id, std::move(request)).first->second;
}

Micros RequestFlow::latest_start(const RequestArrived& arrival) const {
    const auto class_index = static_cast<std::size_t>(arrival.request_class);
    const Micros objective = context_.settings().classes[class_index].latency_objective;
    const double left_s = to_seconds(std::min(arrival.time_left, objective));
    const double response_s = modules_.load.expected_response_s(arrival.units);
    const double margin_s = std::min(response_margin * response_s, max_margin_share * left_s);
    return context_.now() + to_micros(left_s - margin_s);
}

void RequestFlow::seek_admission(Request& request) {
    Customer& customer = *request.customer;
    const double units = request.arrival.units;
    if (modules_.leases.covers(customer, units)) {
        if (modules_.permits.available(customer)) return admit(request);
        return await_permit(request);
    }
    if (const std::optional<Micros> wait = modules_.leases.exhausted_for(customer, units))
        return reject_or_admit_excess(request, *wait, RejectionReason::over_quota);
    customer.quota.waiting.push_back(request.arrival.id);
    context_.set_timer(request.latest_start - context_.now(), request.arrival.id, TimerKind::expiry);
    if (customer.quota.pending_nonce == 0) acquire_lease(customer);
}

// While the hosts are overloaded, the warm-up limiter additionally restricts the customer to this gateway's
// demand share of the quota.
void RequestFlow::admit(Request& request) {
    Customer& customer = *request.customer;
    const Plan* const plan = plan_of(context_.settings(), customer);
    const double units = request.arrival.units;
    Micros wait{0};
    if (plan && modules_.load.overloaded() && plan->rate > 0 && plan->burst > 0) {
        const double stable_interval_s = 1 / (plan->rate * modules_.leases.demand_share(customer));
        const double warm_up_s = plan->burst / plan->rate;
        customer.limiter.refill(context_.now(), stable_interval_s, warm_up_s);
        wait = customer.limiter.next_free() - context_.now();
        if (context_.now() + wait > request.latest_start)
            return reject(request, wait, RejectionReason::warm_up_limit);
        customer.limiter.reserve(units, stable_interval_s, warm_up_s);
    }
    request.admitted = true;
    ++customer.permits.admitted;
    modules_.leases.reserve(customer, units, request.within_quota);
    modules_.leases.prefetch(customer, units);
    if (wait <= 0us) return dispatch(request);
    context_.set_timer(wait, request.arrival.id, TimerKind::release);
}

void RequestFlow::reject_or_admit_excess(Request& request, Micros wait, RejectionReason reason) {
    const Customer& customer = *request.customer;
    const Plan& plan = *plan_of(context_.settings(), customer);
    const bool earns = plan.excess_weight_share > plan.excess_cost_share &&
                       modules_.leases.ceiling_deficit(customer, request.arrival.units) <= 0;
    const bool has_capacity = modules_.load.has_spare_capacity() && modules_.queue.empty();
    if (!earns || !has_capacity) return reject(request, wait, reason);
    request.within_quota = false;
    admit(request);
}

void RequestFlow::drop_completed(std::vector<RequestId>& ids) const {
    std::erase_if(ids, [this](RequestId id) { return !requests_.contains(id); });
}

void RequestFlow::acquire_lease(Customer& customer) {
    std::vector<RequestId>& waiting = customer.quota.waiting;
    drop_completed(waiting);
    if (waiting.empty()) return;
    const LeaseAnswer answer = modules_.leases.acquire(customer, requests_.at(waiting.front()).arrival.units);
    if (const auto* grant = std::get_if<LeaseGrant>(&answer)) return apply_grant(customer, *grant);
    if (std::holds_alternative<LeaseRequested>(answer)) return;
    for (const RequestId id : std::exchange(waiting, {}))
        if (Request* const request = find(id)) admit_from_even_slice(*request);
}

void RequestFlow::admit_from_even_slice(Request& request) {
    const std::optional<Micros> wait =
        modules_.leases.take_even_slice(*request.customer, request.arrival.units);
    if (wait) return reject_or_admit_excess(request, *wait, RejectionReason::over_quota);
    admit(request);
}

void RequestFlow::apply_grant(Customer& customer, const LeaseGrant& grant) {
    customer.quota.lease_requests_sent = 0;
    if (credit(customer, grant) || customer.quota.waiting.empty()) return acquire_lease(customer);
    const Micros wait = modules_.leases.mark_exhausted(customer, grant);
    for (const RequestId id : std::exchange(customer.quota.waiting, {})) {
        Request* const request = find(id);
        if (request == nullptr) continue;
        QuotaLeases::record_rejected(customer, request->arrival.units);
        reject_or_admit_excess(*request, wait, RejectionReason::over_quota);
    }
}

bool RequestFlow::credit(Customer& customer, const LeaseGrant& grant) {
    modules_.leases.credit(customer, grant);
    bool any_covered = false;
    for (const RequestId id : std::exchange(customer.quota.waiting, {})) {
        Request* const request = find(id);
        if (request == nullptr) continue;
        if (modules_.leases.covers(customer, request->arrival.units)) {
            seek_admission(*request);
            any_covered = true;
        } else {
            customer.quota.waiting.push_back(id);
        }
    }
    return any_covered;
}

void RequestFlow::on_lease_grant(int from, const LeaseGrant& grant) {
    const std::optional<AcceptedGrant> accepted = modules_.leases.accept(from, grant);
    if (!accepted) return;
    if (accepted->for_waiting_request) return apply_grant(*accepted->customer, accepted->grant);
    // The granted units are already deducted from the holder's ledger, so they are used here. An empty grant
    // is ignored, because it is outdated: the answer to a later lease request decides.
    if (accepted->grant.units > 0 || accepted->grant.ceiling_units > 0)
        credit(*accepted->customer, accepted->grant);
}

void RequestFlow::on_lease_timeout(std::uint32_t nonce) {
    if (Customer* const customer = modules_.leases.on_timeout(nonce)) acquire_lease(*customer);
}

// Makes a request beyond the concurrency limit wait until an attempt ends. If its expected wait ends after
// its latest start, the request is rejected immediately or admitted as excess.
void RequestFlow::await_permit(Request& request) {
    Customer& customer = *request.customer;
    drop_completed(customer.permits.waiting);
    const Micros wait = modules_.permits.expected_wait(customer, modules_.load.response_s());
    if (context_.now() + wait > request.latest_start)
        return reject_or_admit_excess(request, wait, RejectionReason::over_concurrency_limit);
    customer.permits.waiting.push_back(request.arrival.id);
    context_.set_timer(request.latest_start - context_.now(), request.arrival.id, TimerKind::expiry);
    request_permits(customer, false);
}

void RequestFlow::admit_waiting_for_permit(Customer& customer) {
    std::vector<RequestId>& waiting = customer.permits.waiting;
    while (!waiting.empty() && modules_.permits.available(customer)) {
        const RequestId id = waiting.front();
        waiting.erase(waiting.begin());
        if (Request* const request = find(id)) seek_admission(*request);
    }
    request_permits(customer, false);
}

void RequestFlow::request_permits(Customer& customer, bool renew) {
    drop_completed(customer.permits.waiting);
    const std::optional<PermitGrant> own_grant = modules_.permits.request(customer, renew);
    if (own_grant) on_permit_grant(*own_grant, context_.settings().rank);
}

void RequestFlow::on_permit_request(const PermitRequest& request, int from) {
    const std::optional<PermitGrant> own_grant = modules_.permits.lend(request, from);
    if (own_grant) on_permit_grant(*own_grant, context_.settings().rank);
}

void RequestFlow::on_permit_grant(const PermitGrant& grant, int from) {
    Customer* const customer = modules_.customers.find(grant.customer);
    if (customer == nullptr || !modules_.permits.accept(*customer, grant, from)) return;
    admit_waiting_for_permit(*customer);
}

void RequestFlow::on_permit_renewal(std::uint32_t customer_hash) {
    Customer* const customer = modules_.customers.find(customer_hash);
    if (customer == nullptr || !modules_.permits.renewal_due(*customer)) return;
    if (modules_.permits.borrows(*customer)) return request_permits(*customer, true);
    ConcurrencyPermits::reset(*customer);  // the lease holder is silent
    admit_waiting_for_permit(*customer);
}

void RequestFlow::reject_waiting() {
    modules_.leases.abandon_requests();
    std::vector<RequestId> waiting;
    for (auto& [name, customer] : modules_.customers) {
        QuotaLeases::abandon_requests(customer);
        for (std::vector<RequestId>* const queue : {&customer.quota.waiting, &customer.permits.waiting}) {
            waiting.insert(waiting.end(), queue->begin(), queue->end());
            queue->clear();
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const RequestId id : waiting)
        if (Request* const request = find(id)) reject(*request, 0us, RejectionReason::handed_over);
}

void RequestFlow::track_inherited_attempts() {
    for (auto& [name, customer] : modules_.customers)
        if (customer.permits.in_flight > 0) inherited_.emplace_back(&customer, customer.permits.in_flight);
    const Micros likely_end = to_micros(inherited_responses * modules_.load.response_s());
    context_.set_timer(likely_end, 0, TimerKind::inherited_in_flight);
}

void RequestFlow::end_inherited_attempts() {
    for (const auto& [customer, in_flight] : std::exchange(inherited_, {})) {
        customer->permits.in_flight = std::max(0, customer->permits.in_flight - in_flight);
        admit_waiting_for_permit(*customer);
    }
}

}  // namespace gateway::decision

// Implements the second part of RequestFlow: from admission to the final answer.
#include <algorithm>
#include <utility>

#include "request_flow.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// A request waits at most this time for the health checks of its two candidates.
constexpr Micros health_check_wait = 40ms;
// A queued request repeats the host selection after this time.
constexpr Micros queue_retry_delay = 100ms;
// Maximum number of health check rounds for one request. A round checks two hosts.
constexpr int max_health_check_rounds = 2;
}  // namespace

Request* RequestFlow::find(RequestId id) {
    const auto request = requests_.find(id);
    return request == requests_.end() ? nullptr : &request->second;
}

const RequestClass& RequestFlow::class_of(const Request& request) const {
    return context_.settings().classes[static_cast<std::size_t>(request.arrival.request_class)];
}

double RequestFlow::objective_s(const Request* request) const {
    if (request != nullptr) return to_seconds(class_of(*request).latency_objective);
    const std::vector<RequestClass>& classes = context_.settings().classes;
    return classes.empty() ? 1 : to_seconds(classes.front().latency_objective);
}

void RequestFlow::dispatch(Request& request) {
    const Micros now = context_.now();
    if (now <= request.latest_start && try_send(request)) return;
    if (now >= request.latest_start) return give_up(request, RejectionReason::no_host_available);
    if (!std::exchange(request.queued, true)) modules_.queue.push(request.arrival.id);
    const Micros wait = std::min(queue_retry_delay, request.latest_start - now);
    context_.set_timer(wait, request.arrival.id, TimerKind::expiry);
    const std::optional<RequestId> overflow = modules_.queue.pop_overflow(modules_.hosts.size());
    if (!overflow) return;
    Request* const oldest = find(*overflow);
    if (oldest != nullptr && oldest->queued) give_up(*oldest, RejectionReason::queue_full);
}

void RequestFlow::dispatch_queued() {
    modules_.queue.offer_newest_first([this](RequestId id) {
        Request* const request = find(id);
        if (request == nullptr || !request->queued) return true;
        return context_.now() <= request->latest_start && try_send(*request);
    });
}

bool RequestFlow::try_send(Request& request) {
    request.candidates = modules_.selector.select(request);
    if (request.candidates.empty()) return false;
    Host& best = *request.candidates.front();
    if (modules_.load.is_known(best)) {
        send(request, best);
        return true;
    }
    const bool may_check =
        request.health_check_rounds < max_health_check_rounds && modules_.load.window_open();
    if (!may_check) {
        request.health_check_rounds = max_health_check_rounds;
        return false;
    }
    if (modules_.health_checker.take_checks(request.candidates.size())) {
        check_health_of_candidates(request);
        return true;
    }
    // The health check budget is spent, so this gateway's own load estimate decides.
    if (modules_.load.outstanding(best) >= modules_.load.limit(best)) return false;
    send(request, best);
    return true;
}

void RequestFlow::check_health_of_candidates(Request& request) {
    ++request.health_check_rounds;
    request.queued = false;
    request.checking_health = true;
    request.health_checks_in_flight = static_cast<int>(request.candidates.size());
    for (Host* const host : request.candidates)
        modules_.health_checker.await_check(*host, request.arrival.id);
    context_.set_timer(health_check_wait, request.arrival.id, TimerKind::health_check);
}

void RequestFlow::send(Request& request, Host& host) {
    Customer& customer = *request.customer;
    const double units = request.arrival.units;
    const Micros now = context_.now();
    if (!request.forwarded) {
        modules_.leases.spend_ceiling(customer, units);
        modules_.retries.record_first_attempt();
        --customer.permits.admitted;
    }
    request.forwarded = true;
    request.queued = false;
    request.checking_health = false;
    request.health_check_rounds = 0;
    const std::optional<Micros> latest_delivery =
        RequestRules::latest_delivery(class_of(request), request.history);
    request.history.begin_attempt(request.history.count(), {host.entry.zone, host.entry.cell}, now);
    request.last_host = host.entry.host;
    request.last_sent_at = now;
    ++customer.permits.in_flight;
    if (host.load.in_flight == 0) modules_.outliers.record_first_in_flight(host);
    modules_.load.record_sent(host, units);
    modules_.slow_start.record_sent(host, units);
    SendAttempt attempt;
    attempt.id = request.arrival.id;
    attempt.host = host.entry.host;
    attempt.timeout = std::max(request.deadline - now, 1us);
    attempt.reason = std::exchange(request.next_reason, AttemptReason::retry);
    if (latest_delivery) attempt.delivery_timeout = std::max(*latest_delivery - now, 1us);
    context_.emit(std::move(attempt));
    const Micros check_delay = modules_.outliers.silence_check_delay(objective_s(&request));
    context_.set_timer(check_delay, request.arrival.id, TimerKind::silence_check);
}

void RequestFlow::send_to_best_candidate(Request& request) {
    Host* const best = modules_.selector.best_candidate(request);
    if (best != nullptr && context_.now() <= request.latest_start) return send(request, *best);
    request.checking_health = false;
    dispatch(request);
}

void RequestFlow::on_health_check_ended(const HealthCheckEnded& check) {
    Host* const host = modules_.hosts.find(check.host);
    if (host == nullptr) return;
    const bool success = check.outcome == Outcome::success;
    if (success) modules_.load.record_report(*host, check.report);
    else modules_.outliers.record_failed_health_check(*host);
    for (const RequestId id : HealthChecker::end_check(*host)) {
        Request* const request = find(id);
        if (request == nullptr || !request->checking_health) continue;
        if (std::count(request->candidates.begin(), request->candidates.end(), host) == 0) continue;
        --request->health_checks_in_flight;
        const bool can_accept = success && host->load.idle && modules_.selector.has_capacity(*host) &&
                                modules_.selector.rules_allow(*host, *request);
        if (can_accept) send(*request, *host);
        else if (request->health_checks_in_flight <= 0) send_to_best_candidate(*request);
    }
    dispatch_queued();
}

void RequestFlow::on_timer(TimerKind kind, RequestId id) {
    Request* const request = find(id);
    if (request == nullptr) return dispatch_queued();
    if (kind == TimerKind::deadline) {
        give_up(*request, RejectionReason::deadline_exceeded);
    } else if (kind == TimerKind::release) {
        dispatch(*request);
    } else if (kind == TimerKind::expiry) {
        check_waiting(*request);
    } else if (kind == TimerKind::silence_check) {
        check_for_silence(*request);
    } else if (kind == TimerKind::health_check && request->checking_health) {
        send_to_best_candidate(*request);
    }
    dispatch_queued();
}

void RequestFlow::check_waiting(Request& request) {
    check_arriving_responses(request);
    if (request.queued) {
        request.health_check_rounds = 0;
        dispatch(request);
    } else if (!request.admitted && context_.now() >= request.latest_start) {
        // After its latest start, the request could not be sent even if a grant arrived. Without this timer,
        // lost lease requests and slow lease holders would delay the rejection until shortly before the
        // client gives up.
        give_up(request, RejectionReason::no_lease_in_time);
    }
}

void RequestFlow::on_attempt_ended(const AttemptEnded& ended) {
    Request* const request = find(ended.id);
    if (Host* const host = modules_.hosts.find(ended.host)) record_outcome(*host, ended, request);
    Customer* customer = nullptr;
    if (request != nullptr) {
        customer = request->customer;
        request->history.end_attempt(ended.attempt, ended.outcome);
        std::erase_if(request->arriving, [&ended](const ArrivingResponse& arriving) {
            return arriving.attempt == ended.attempt;
        });
        customer->permits.in_flight = std::max(0, customer->permits.in_flight - 1);
        if (ended.actual_units > 0 && context_.settings().units_settled_later && request->within_quota)
            QuotaLeases::correct(*customer, request->arrival.units, ended.actual_units);
        if (ended.request_completed) release(*request);
        else if (request->history.in_flight() == 0) retry(*request);
    } else if (const auto orphaned = orphaned_.find(ended.id); orphaned != orphaned_.end()) {
        customer = orphaned->second.customer;
        customer->permits.in_flight = std::max(0, customer->permits.in_flight - 1);
        --orphaned->second.in_flight;
        if (orphaned->second.in_flight == 0) orphaned_.erase(orphaned);
    }
    if (customer != nullptr) admit_waiting_for_permit(*customer);
    dispatch_queued();
}

void RequestFlow::record_outcome(Host& host, const AttemptEnded& ended, const Request* request) {
    modules_.load.record_ended(host, ended.elapsed);
    const bool reported = ended.report.queued >= 0 || ended.report.outstanding >= 0;
    if (reported) modules_.load.record_report(host, ended.report);
    if (ended.outcome == Outcome::success || ended.outcome == Outcome::error)
        modules_.outliers.record_response(host);
    const double objective = objective_s(request);
    if (!context_.stalled()) {
        modules_.load.record_outcome(host, ended, objective);
        modules_.outliers.record_outcome(host, ended);
    }
    const bool rejected = ended.outcome == Outcome::rejected;
    if (rejected && request != nullptr && modules_.load.responds_fast(objective))
        modules_.outliers.penalize(host, request->traffic_class);
}

// Retries the request if the rules allow it, if the retry can be answered in time and if the retry budget
// covers it. Otherwise gives up.
void RequestFlow::retry(Request& request) {
    // The retry has to go to a host that shares its store of idempotency keys with the last attempt's host,
    // so the zone and cell of that host are checked.
    const RequestHistory::Attempt& last = request.history.attempts().back();
    const HostLocation last_location{last.zone, last.cell};
    const Micros now = context_.now();
    const SendVerdict verdict =
        modules_.rules.check_send(class_of(request), request.history, last_location, now);
    if (verdict != SendVerdict::allowed) return give_up(request, RejectionReason::retry_not_allowed);
    if (now >= request.latest_start) return give_up(request, RejectionReason::too_late_to_retry);
    // If hosts respond fast, a rejected attempt is likely to be accepted by another host. The retry adds no
    // work, because the rejected attempt was not executed, so it does not use the retry budget.
    const bool adds_no_work =
        !request.history.may_have_run() && modules_.load.responds_fast(objective_s(&request));
    if (!adds_no_work && !modules_.retries.take_retry())
        return give_up(request, RejectionReason::retry_budget_exhausted);
    dispatch(request);
}

void RequestFlow::check_for_silence(Request& request) {
    if (request.history.in_flight() == 0 || request.queued) return;
    if (context_.stalled())
        return context_.set_timer(Context::heartbeat_period(), request.arrival.id, TimerKind::silence_check);
    Host* const host = modules_.hosts.find(request.last_host);
    if (host == nullptr) return;
    if (modules_.outliers.eject_if_silent(*host, request.last_sent_at, objective_s(nullptr)))
        hedge_or_cancel(request);
}

void RequestFlow::hedge_or_cancel(Request& request) {
    const Settings& settings = context_.settings();
    if (class_of(request).idempotency != Idempotency::idempotent) return;
    if (request.history.count() >= settings.max_attempts || context_.now() >= request.latest_start) return;
    if (settings.may_hedge) {
        if (!modules_.retries.take_retry()) return;
        request.next_reason = AttemptReason::hedge;
        try_send(request);
    } else if (settings.may_cancel && request.arriving.empty()) {
        context_.emit(CancelAttempt{request.arrival.id, request.history.count() - 1});
    }
}

void RequestFlow::on_response_started(const ResponseStarted& response) {
    if (Host* const host = modules_.hosts.find(response.host)) modules_.outliers.record_response(*host);
    if (Request* const request = find(response.id)) release(*request);
}

// Cancels the attempts of a request whose client has disconnected, so that hosts do not continue work that no
// client waits for. Each cancelled attempt closes its connection, which costs a new handshake.
void RequestFlow::on_client_disconnected(const ClientDisconnected& client) {
    Request* const request = find(client.id);
    if (request == nullptr) return;
    const RequestHistory& history = request->history;
    if (context_.settings().may_cancel && history.in_flight() > 0)
        for (int attempt = 0; attempt < history.count(); ++attempt)
            context_.emit(CancelAttempt{client.id, attempt});
    release(*request);
}

void RequestFlow::give_up(Request& request, RejectionReason reason) {
    if (stream_arriving_response(request)) return;
    if (RequestRules::may_reject(class_of(request), request.history)) {
        const Micros wait = request.forwarded ? 0us : to_micros(modules_.load.response_s());
        return reject(request, wait, reason);
    }
    context_.emit(FailRequest{request.arrival.id, reason});
    release(request);
}

void RequestFlow::reject(Request& request, Micros retry_after, RejectionReason reason) {
    const Micros client_wait = context_.settings().may_send_retry_after ? std::max(retry_after, 0us) : 0us;
    context_.emit(RejectRequest{request.arrival.id, client_wait, reason});
    release(request);
}

void RequestFlow::release(Request& request) {
    Customer& customer = *request.customer;
    if (request.admitted && !request.forwarded) {
        modules_.leases.release(customer, request.arrival.units, request.within_quota);
        --customer.permits.admitted;
    }
    --customer.requests;
    const int in_flight = request.history.in_flight();
    if (in_flight > 0) orphaned_[request.arrival.id] = {&customer, in_flight};
    requests_.erase(request.arrival.id);
    admit_waiting_for_permit(customer);
}

void RequestFlow::remove_departed_hosts() {
    if (modules_.hosts.any_gone()) {
        const auto departed = [](const Host* host) { return HostRegistry::has_departed(*host); };
        for (auto& [id, request] : requests_) std::erase_if(request.candidates, departed);
    }
    modules_.hosts.remove_departed();
}

}  // namespace gateway::decision

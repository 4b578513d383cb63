#include "request_handler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "gateway/request_rules.h"
#include "load_report.h"
#include "log.h"
#include "outcome.h"

namespace gateway::server {
using namespace std::chrono_literals;

namespace {
// The value of RequestArrived::plan for a request without a plan.
constexpr int no_plan = -1;

// Formats the Retry-After header: seconds, rounded up to whole milliseconds.
std::string format_retry_after(Micros retry_after) {
    char text[32];
    const double seconds = std::ceil(static_cast<double>(retry_after.count()) / 1e3) / 1e3;
    std::snprintf(text, sizeof text, "%.3f", seconds);
    return text;
}

// Whether the gateway closed the connection on its own initiative rather than in reaction to the client.
bool is_closed_by_gateway(ClientCloseReason reason) {
    return reason == ClientCloseReason::evicted || reason == ClientCloseReason::linger_timeout ||
           reason == ClientCloseReason::timeout || reason == ClientCloseReason::internal_error;
}
}  // namespace

RequestHandler::RequestHandler(const Dependencies& dependencies)
    : clock_(dependencies.clock),
      settings_(dependencies.settings),
      guard_(dependencies.guard),
      metrics_(dependencies.metrics),
      dispatcher_(dependencies.dispatcher),
      timers_(dependencies.timers),
      pool_(dependencies.pool),
      listeners_(dependencies.listeners),
      validator_(dependencies.settings) {}

void RequestHandler::on_request(ClientRequest&& request) {
    if (refuses_all_) return reject_late(request.id);
    RequestAttributes attributes;
    std::optional<RequestError> error = validator_.validate(request.message, attributes);
    // Trace ids are unique among the requests in flight. Otherwise, a host would receive two requests with
    // the same trace id, and an answer could be sent to the wrong client. A client that sends a request again
    // after it has disconnected must not have it executed twice.
    if (!error && (requests_.contains_trace_id(attributes.trace_id) ||
                   executed_trace_ids_.contains(attributes.trace_id, clock_.now())))
        error = {http::status::conflict, "X-Trace-Id: expected one that is not open"};
    metrics_.request_received();
    if (error) {
        reject_invalid(request.id, *error);
        return;
    }
    const Micros deadline = clock_.at(request.arrived) + attributes.time_left;
    decision::RequestArrived event;
    event.id = request.id;
    event.customer = std::move(attributes.customer);
    event.plan = attributes.plan.value_or(no_plan);
    event.request_class = attributes.request_class;
    event.units = attributes.units;
    event.time_left = deadline - clock_.now();
    event.set_size = attributes.set_size;
    event.set_start = attributes.set_start;
    InFlightRequest arrived;
    arrived.message = std::move(request.message);
    arrived.body_reservation = std::move(request.body_reservation);
    arrived.trace_id = std::move(attributes.trace_id);
    arrived.deadline = deadline;
    arrived.idempotent = is_idempotent(event.request_class);
    const InFlightRequest& added = requests_.add(request.id, std::move(arrived));
    LogLine(LogLevel::debug, "request_received")
        .with("request", request.id)
        .with("connection", request.connection)
        .with("trace", added.trace_id)
        .with("class", settings_.classes[static_cast<std::size_t>(event.request_class)].name)
        .with("customer", event.customer)
        .with("left", event.time_left);
    guard_.request_arrived(request.id, event.request_class, deadline);
    timers_.add_deadline(deadline, request.id);
    dispatcher_.dispatch(std::move(event));
}

bool RequestHandler::is_idempotent(int request_class) const {
    return settings_.classes[static_cast<std::size_t>(request_class)].idempotency ==
           decision::Idempotency::idempotent;
}

void RequestHandler::reject_late(decision::RequestId id) {
    metrics_.request_received();
    metrics_.answered(static_cast<unsigned>(http::status::service_unavailable));
    LogLine(LogLevel::info, "request_after_latest_end").with("request", id);
    clients().answer(id, make_answer(http::status::service_unavailable));
}

void RequestHandler::reject_invalid(decision::RequestId id, const RequestError& error) {
    metrics_.request_invalid();
    LogLine(LogLevel::debug, "request_invalid").with("request", id).with("reason", error.message);
    clients().reject(id, make_answer(error.status, error.message + '\n'));
}

void RequestHandler::on_client_disconnected(decision::RequestId id) {
    InFlightRequest* const request = requests_.find(id);
    if (request == nullptr) return;
    if (request->streaming_attempt) {
        pool_.cancel({id, *request->streaming_attempt});
        return;
    }
    if (request->answered) return;
    LogLine(LogLevel::debug, "client_disconnected").with("request", id).with("trace", request->trace_id);
    guard_.client_disconnected(id);
    dispatcher_.dispatch_before(decision::ClientDisconnected{id}, [&] { finish_request(id, *request); });
}

void RequestHandler::on_piece_written(decision::RequestId id) {
    const InFlightRequest* const request = requests_.find(id);
    if (request != nullptr && request->streaming_attempt)
        pool_.resume_reading({id, *request->streaming_attempt});
}

void RequestHandler::on_client_closed(ClientCloseReason reason, decision::RequestId id) {
    metrics_.client_closed(reason);
    if (!is_closed_by_gateway(reason) || id == 0) return;
    const InFlightRequest* const request = requests_.find(id);
    if (request == nullptr || request->answered) return;
    guard_.closed_unanswered();
    LogLine(LogLevel::error, "closed_unanswered")
        .with("request", id)
        .with("trace", request->trace_id)
        .with("reason", to_string(reason));
}

void RequestHandler::on_attempt_ended(const HostPool::AttemptKey& key, const std::string& uid,
                                      HostResult&& result) {
    InFlightRequest* const request = requests_.find(key.request);
    if (request == nullptr) return;
    --request->attempts_in_flight;
    const decision::Outcome outcome = to_decision_outcome(result.outcome);
    request->may_have_run = request->may_have_run || !decision::proves_not_executed(outcome);
    metrics_.attempt_ended(result.outcome);
    guard_.attempt_ended(key.request, key.attempt, outcome);
    LogLine(LogLevel::debug, "attempt_ended")
        .with("request", key.request)
        .with("trace", request->trace_id)
        .with("attempt", key.attempt)
        .with("host", uid)
        .with("outcome", to_string(result.outcome))
        .with("took", result.elapsed);
    if (result.partial_body_bytes) log_incomplete_response(key, uid, result, *request);
    const bool answers_request = result.outcome == HostOutcome::success && !request->answered;
    if (request->streaming_attempt == key.attempt) {
        request->streaming_attempt.reset();
        if (result.outcome == HostOutcome::success)
            clients().end_response(key.request, std::move(result.answer.body()));
        else clients().abort_response(key.request);
    }
    decision::AttemptEnded event;
    event.id = key.request;
    event.attempt = key.attempt;
    event.host = uid;
    event.outcome = outcome;
    event.elapsed = result.elapsed;
    event.request_completed = request->answered || answers_request;
    if (!result.load_report.empty()) event.report = read_load_report(result.load_report);
    dispatcher_.dispatch_before(std::move(event), [&] {
        if (answers_request) answer(key.request, *request, std::move(result.answer));
        else erase_if_finished(key.request);
    });
}

// Logs and counts a response that ended after its header, by the host or by the gateway.
void RequestHandler::log_incomplete_response(const HostPool::AttemptKey& key, const std::string& uid,
                                             const HostResult& result, const InFlightRequest& request) {
    const bool streamed = request.streaming_attempt == key.attempt;
    // Nobody waits for the response if its client has disconnected or has another attempt's response.
    const bool awaited = streamed ? result.outcome != HostOutcome::cancelled : !request.answered;
    if (awaited) metrics_.response_incomplete(result.outcome);
    LogLine(awaited ? LogLevel::info : LogLevel::debug, streamed ? "response_aborted" : "response_discarded")
        .with("request", key.request)
        .with("trace", request.trace_id)
        .with("attempt", key.attempt)
        .with("host", uid)
        .with("outcome", to_string(result.outcome))
        .with("bytes", *result.partial_body_bytes)
        .with("left", request.deadline - clock_.now());
}

void RequestHandler::on_response_arriving(const HostPool::AttemptKey& key) {
    const InFlightRequest* const request = requests_.find(key.request);
    if (request == nullptr || request->answered) return;
    LogLine(LogLevel::debug, "response_arriving")
        .with("request", key.request)
        .with("trace", request->trace_id)
        .with("attempt", key.attempt);
    dispatcher_.dispatch(decision::ResponseArriving{key.request, key.attempt});
}

// Starts to stream a response to the client. From then on, the speed of the client determines how long the
// attempt takes. The attempt ends when the host has sent everything or the client disconnects.
bool RequestHandler::on_response_started(const HostPool::AttemptKey& key, const std::string& uid,
                                         HostResult&& result) {
    InFlightRequest* const request = requests_.find(key.request);
    if (request == nullptr || request->answered) return false;
    request->streaming_attempt = key.attempt;
    LogLine(LogLevel::debug, "response_started")
        .with("request", key.request)
        .with("trace", request->trace_id)
        .with("attempt", key.attempt)
        .with("host", uid)
        .with("reason", to_string(result.stream_reason))
        .with("bytes", result.answer.body().size())
        .with("left", request->deadline - clock_.now());
    metrics_.response_streamed(result.stream_reason);
    metrics_.answered(result.answer.result_int());
    guard_.answered(key.request, clock_.now());
    dispatcher_.dispatch_before(decision::ResponseStarted{key.request, uid},
                                [&] { finish_request(key.request, *request); });
    clients().begin_response(key.request, std::move(result.answer));
    return true;
}

void RequestHandler::execute(const decision::SendAttempt& action) {
    InFlightRequest* const request = requests_.find(action.id);
    if (request == nullptr) return;
    const int attempt = request->attempts_started++;
    const Micros now = clock_.now();
    const Micros time_left = request->deadline - now;
    const decision::SendVerdict verdict = guard_.begin_attempt(action.id, attempt, action.host, now);
    LogLine(verdict == decision::SendVerdict::allowed ? LogLevel::debug : LogLevel::warning, "attempt")
        .with("request", action.id)
        .with("trace", request->trace_id)
        .with("attempt", attempt)
        .with("reason", to_string(action.reason))
        .with("host", action.host)
        .with("left", time_left)
        .with("verdict", to_string(verdict));
    if (verdict != decision::SendVerdict::allowed) {
        report_not_sent(action, attempt, request->answered);
        return;
    }
    metrics_.attempt_begun(action.reason);
    ++request->attempts_in_flight;
    pool_.attempt({action.id, attempt}, action.host, request->message,
                  action.timeout > 0us ? std::min(action.timeout, time_left) : time_left,
                  action.delivery_timeout);
}

void RequestHandler::report_not_sent(const decision::SendAttempt& action, int attempt, bool answered) {
    decision::AttemptEnded event;
    event.id = action.id;
    event.attempt = attempt;
    event.host = action.host;
    event.outcome = decision::Outcome::not_sent;
    event.request_completed = answered;
    dispatcher_.dispatch(std::move(event));
}

void RequestHandler::execute(const decision::RejectRequest& action) {
    InFlightRequest* const request = requests_.find(action.id);
    if (request == nullptr || request->answered) return;
    if (!guard_.may_reject(action.id)) {
        LogLine(LogLevel::error, "rejection_blocked")
            .with("request", action.id)
            .with("trace", request->trace_id);
        execute(decision::FailRequest{action.id, action.reason});
        return;
    }
    LogLine(LogLevel::debug, "request_shed")
        .with("request", action.id)
        .with("trace", request->trace_id)
        .with("reason", to_string(action.reason))
        .with("retry_after", action.retry_after);
    metrics_.request_shed(action.reason);
    Answer rejection = make_answer(request->attempts_started == 0 ? http::status::too_many_requests
                                                                  : http::status::service_unavailable);
    if (action.retry_after > 0us)
        rejection.set(http::field::retry_after, format_retry_after(action.retry_after));
    answer(action.id, *request, std::move(rejection));
}

void RequestHandler::execute(const decision::FailRequest& action) {
    InFlightRequest* const request = requests_.find(action.id);
    if (request == nullptr || request->answered) return;
    LogLine(LogLevel::debug, "request_failed")
        .with("request", action.id)
        .with("trace", request->trace_id)
        .with("reason", to_string(action.reason));
    metrics_.request_failed(action.reason);
    answer(action.id, *request, make_answer(http::status::gateway_timeout));
}

void RequestHandler::execute(const decision::CancelAttempt& action) {
    LogLine(LogLevel::debug, "attempt_cancelled").with("request", action.id).with("attempt", action.attempt);
    pool_.cancel({action.id, action.attempt});
}

void RequestHandler::execute(const decision::StreamResponse& action) {
    pool_.stream_arriving({action.id, action.attempt}, StreamReason::decision);
}

bool RequestHandler::stream_arriving(decision::RequestId id, const InFlightRequest& request) {
    for (int attempt = request.attempts_started; attempt-- > 0;)
        if (pool_.stream_arriving({id, attempt}, StreamReason::deadline)) return true;
    return false;
}

void RequestHandler::answer(decision::RequestId id, InFlightRequest& request, Answer&& answer) {
    if (request.answered) return;
    const Micros now = clock_.now();
    LogLine(LogLevel::debug, "request_answered")
        .with("request", id)
        .with("trace", request.trace_id)
        .with("status", static_cast<int>(answer.result_int()))
        .with("left", request.deadline - now);
    metrics_.answered(answer.result_int());
    guard_.answered(id, now);
    finish_request(id, request);
    clients().answer(id, std::move(answer));
}

// Marks the request as answered or as needing no answer. While attempts are in flight its trace id stays
// reserved, because a host may still be processing the request. Unsent attempts are cancelled, because a
// connection that is established late would otherwise carry the request to a host after its end.
void RequestHandler::finish_request(decision::RequestId id, InFlightRequest& request) {
    request.answered = true;
    request.message = {};
    request.body_reservation.release();
    if (request.attempts_in_flight > 0) pool_.cancel_unsent(id);
    erase_if_finished(id);
}

void RequestHandler::erase_if_finished(decision::RequestId id) {
    const InFlightRequest* const request = requests_.find(id);
    if (request == nullptr || !request->answered || request->attempts_in_flight > 0) return;
    if (!request->idempotent && request->may_have_run)
        executed_trace_ids_.add(request->trace_id, clock_.now());
    guard_.forget(id);
    requests_.erase(id);
}

std::string RequestHandler::trace_ids_for_successor() const {
    ExecutedTraceIds trace_ids = executed_trace_ids_;
    for (const std::string_view trace_id : requests_.non_idempotent_trace_ids())
        trace_ids.add(trace_id, clock_.now());
    return trace_ids.serialize();
}

void RequestHandler::on_deadline(decision::RequestId id) {
    // The decision module normally answers before the deadline. A request that the module has lost track of
    // because of a fault must still be answered.
    InFlightRequest* const request = requests_.find(id);
    if (request == nullptr || request->answered) return;
    LogLine(LogLevel::error, "no_decision_by_deadline").with("request", id).with("trace", request->trace_id);
    fail_with_timeout(id, *request);
}

bool RequestHandler::awaits_answer(decision::RequestId id) {
    const InFlightRequest* const request = requests_.find(id);
    return request != nullptr && !request->answered;
}

void RequestHandler::refuse_all() {
    refuses_all_ = true;
    for (const decision::RequestId id : requests_.unanswered()) {
        InFlightRequest* const request = requests_.find(id);
        if (request != nullptr && !request->answered) fail_with_timeout(id, *request);
    }
}

void RequestHandler::fail_with_timeout(decision::RequestId id, InFlightRequest& request) {
    if (stream_arriving(id, request)) return;
    answer(id, request, make_answer(http::status::gateway_timeout));
    dispatcher_.dispatch(decision::ClientDisconnected{id});
}

}  // namespace gateway::server

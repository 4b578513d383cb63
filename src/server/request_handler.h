// The processing of each request, from its arrival to its final answer and the end of its last attempt.
#pragma once

#include <string>

#include "client_server.h"
#include "clock.h"
#include "event_dispatcher.h"
#include "executed_trace_ids.h"
#include "gateway/interface.h"
#include "gateway/rule_guard.h"
#include "host_pool.h"
#include "in_flight_requests.h"
#include "listeners.h"
#include "metrics.h"
#include "request_validator.h"
#include "timer_queue.h"

namespace gateway::server {

// Converts the events of client and host connections into events of the decision module, and carries out the
// module's actions on requests. Checks each action with the rule guard first, so that a fault of the module
// cannot break a promise to a client.
class RequestHandler {
  public:
    // The components that the handler uses. All must outlive the handler, but need not be constructed before
    // it.
    struct Dependencies {
        const Clock& clock;
        const decision::Settings& settings;
        decision::RuleGuard& guard;
        Metrics& metrics;
        EventDispatcher& dispatcher;
        TimerQueue& timers;
        HostPool& pool;
        Listeners& listeners;
    };
    explicit RequestHandler(const Dependencies& dependencies);

    // Events of client connections.
    void on_request(ClientRequest&& request);
    void on_client_disconnected(decision::RequestId id);
    // All pieces so far of a streamed response have been written to the client.
    void on_piece_written(decision::RequestId id);
    // `id`: the unanswered request on the closed connection; 0: none.
    void on_client_closed(ClientCloseReason reason, decision::RequestId id);

    // Events of host connections.
    void on_attempt_ended(const HostPool::AttemptKey& key, const std::string& uid, HostResult&& result);
    // A response without a length is arriving.
    void on_response_arriving(const HostPool::AttemptKey& key);
    // A streamed response begins. Returns false if the request needs no answer any more.
    [[nodiscard]] bool on_response_started(const HostPool::AttemptKey& key, const std::string& uid,
                                           HostResult&& result);

    // Answers a request if the decision module has not done so by its deadline: with the response that is
    // arriving, if there is one, and otherwise with 504.
    void on_deadline(decision::RequestId id);
    // Whether the request is in flight and has no answer.
    [[nodiscard]] bool awaits_answer(decision::RequestId id);
    // Answers each unanswered request in the same way, and each later request with 503, without an attempt.
    void refuse_all();
    // Returns the trace ids that the successor in an upgrade must not forward, in the form of
    // `ExecutedTraceIds`.
    [[nodiscard]] std::string trace_ids_for_successor() const;
    // Adds trace ids that the predecessor in an upgrade has handed over.
    void add_executed_trace_ids(std::string_view serialized) {
        executed_trace_ids_.restore(serialized, clock_.now());
    }
    // The number of requests in flight, including answered ones that have attempts in flight.
    [[nodiscard]] std::size_t in_flight() const noexcept { return requests_.size(); }

    // Actions of the decision module.
    void execute(const decision::SendAttempt& action);
    void execute(const decision::RejectRequest& action);
    void execute(const decision::FailRequest& action);
    void execute(const decision::CancelAttempt& action);
    void execute(const decision::StreamResponse& action);

  private:
    [[nodiscard]] bool is_idempotent(int request_class) const;
    // Answers a request that arrives after the latest end of the shutdown.
    void reject_late(decision::RequestId id);
    void reject_invalid(decision::RequestId id, const RequestError& error);
    void log_incomplete_response(const HostPool::AttemptKey& key, const std::string& uid,
                                 const HostResult& result, const InFlightRequest& request);
    void report_not_sent(const decision::SendAttempt& action, int attempt, bool answered);
    void answer(decision::RequestId id, InFlightRequest& request, Answer&& answer);
    void finish_request(decision::RequestId id, InFlightRequest& request);
    void erase_if_finished(decision::RequestId id);
    // Starts to stream the response that is arriving for the request. Returns false if there is none.
    bool stream_arriving(decision::RequestId id, const InFlightRequest& request);
    void fail_with_timeout(decision::RequestId id, InFlightRequest& request);
    [[nodiscard]] ClientServer& clients() { return *listeners_.clients(); }

    const Clock& clock_;
    const decision::Settings& settings_;
    decision::RuleGuard& guard_;
    Metrics& metrics_;
    EventDispatcher& dispatcher_;
    TimerQueue& timers_;
    HostPool& pool_;
    Listeners& listeners_;
    const RequestValidator validator_;
    InFlightRequests requests_;
    ExecutedTraceIds executed_trace_ids_;
    bool refuses_all_ = false;
};

}  // namespace gateway::server

// The course of each request, from its arrival to its final answer and the end of its last attempt.
#pragma once

#include <string>

#include "client_server.h"
#include "clock.h"
#include "event_dispatcher.h"
#include "gateway/interface.h"
#include "gateway/rule_guard.h"
#include "host_pool.h"
#include "in_flight_requests.h"
#include "listeners.h"
#include "metrics.h"
#include "request_validator.h"
#include "timer_queue.h"

namespace gateway::server {

// Turns what clients and hosts do into the decision module's events, and carries out the module's actions on
// requests. Checks each action with the rule guard first, so that a fault of the module does not break a
// promise to a client.
class RequestHandler {
  public:
    // The parts it works with; all must outlive it, but need not be constructed yet.
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

    // From clients.
    void on_request(ClientRequest&& request);
    void on_client_disconnected(decision::RequestId id);
    // The last piece of a streamed answer has been written.
    void on_piece_written(decision::RequestId id);
    // `id`: of the unanswered request of the closed connection; 0: none.
    void on_client_closed(ClientCloseReason reason, decision::RequestId id);

    // From hosts.
    void on_attempt_ended(const HostPool::AttemptKey& key, const std::string& uid, HostResult&& result);
    // A streamed answer begins. False: the client needs it no more.
    [[nodiscard]] bool on_response_started(const HostPool::AttemptKey& key, const std::string& uid,
                                           HostResult&& result);

    // Answers a request that the decision module has not answered by its deadline.
    void on_deadline(decision::RequestId id);
    // Answers each unanswered request with 504.
    void fail_unanswered();
    // Includes answered requests with attempts in flight.
    [[nodiscard]] std::size_t in_flight() const noexcept { return requests_.size(); }

    // Actions of the decision module.
    void execute(const decision::SendAttempt& action);
    void execute(const decision::RejectRequest& action);
    void execute(const decision::FailRequest& action);
    void execute(const decision::CancelAttempt& action);

  private:
    void reject_invalid(decision::RequestId id, const RequestError& error);
    void report_not_sent(const decision::SendAttempt& action, int attempt, bool answered);
    void answer(decision::RequestId id, InFlightRequest& request, Answer&& answer);
    void close(decision::RequestId id, InFlightRequest& request);
    void erase_if_over(decision::RequestId id);
    void give_up(decision::RequestId id, InFlightRequest& request);
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
};

}  // namespace gateway::server

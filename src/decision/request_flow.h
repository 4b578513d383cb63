// The processing of a request: arrival, quota, concurrency permit, warm-up limiter, dispatch to a host,
// outcome, then retry or completion.
#pragma once

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "modules.h"
#include "request.h"

namespace gateway::decision {

// Owns the requests that are not completed and passes them through the modules, which own the rest of the
// state. request_admission.cpp implements admission, request_dispatch.cpp everything after it.
class RequestFlow {
  public:
    explicit RequestFlow(Modules& modules);

    void on_arrived(const RequestArrived& arrival);
    void on_attempt_ended(const AttemptEnded& ended);
    void on_response_arriving(const ResponseArriving& response);
    void on_response_started(const ResponseStarted& response);
    void on_client_disconnected(const ClientDisconnected& client);
    void on_health_check_ended(const HealthCheckEnded& check);
    void on_timer(TimerKind kind, RequestId id);
    // Whether the request has arrived and is not completed.
    [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }

    void on_lease_grant(int from, const LeaseGrant& grant);
    void on_lease_timeout(std::uint32_t nonce);
    void on_permit_request(const PermitRequest& request, int from);
    void on_permit_grant(const PermitGrant& grant, int from);
    void on_permit_renewal(std::uint32_t customer_hash);

    // Sends queued requests to hosts that have capacity.
    void dispatch_queued();
    // Removes hosts that are gone and have no attempts in flight.
    void remove_departed_hosts();

    // Rejects all requests that wait for a lease or a permit and drops all lease requests, because another
    // process takes over.
    void reject_waiting();
    // Counts the attempts of the predecessor process as in flight for their expected duration.
    void track_inherited_attempts();
    // Stops counting the attempts of the predecessor process as in flight.
    void end_inherited_attempts();

  private:
    // Attempts in flight of a completed request. They count against the customer's concurrency limit until
    // they end.
    struct OrphanedAttempts {
        Customer* customer;
        int in_flight;
    };

    Request& create(const RequestArrived& arrival);
    [[nodiscard]] Micros latest_start(const RequestArrived& arrival) const;
    // Admits a request that the quota and the concurrency limit cover. Otherwise makes it wait for a lease or
    // a permit.
    void seek_admission(Request& request);
    void await_permit(Request& request);
    void admit(Request& request);
    // Handles a request beyond the quota: admits it as excess if the plan makes that worthwhile and hosts
    // have spare capacity, and otherwise rejects it with `wait` as the time to retry after.
    void reject_or_admit_excess(Request& request, Micros wait, RejectionReason reason);
    // Requests a lease for the customer's first waiting request.
    void acquire_lease(Customer& customer);
    void admit_from_even_slice(Request& request);
    void apply_grant(Customer& customer, const LeaseGrant& grant);
    // Admits the waiting requests that the grant covers. Returns whether it covers any.
    bool credit(Customer& customer, const LeaseGrant& grant);
    void admit_waiting_for_permit(Customer& customer);
    void request_permits(Customer& customer, bool renew);
    void drop_completed(std::vector<RequestId>& ids) const;

    // Sends the request, or queues it until a host has capacity or its latest start has passed.
    void dispatch(Request& request);
    // Sends the request if a host has capacity, or starts health checks of the best hosts. Returns false if
    // neither is possible.
    bool try_send(Request& request);
    void check_health_of_candidates(Request& request);
    void send(Request& request, Host& host);
    // Sends the request to the best candidate after its health checks have ended or timed out.
    void send_to_best_candidate(Request& request);
    // Checks whether the last attempt's host is silent. If so, ejects the host and hedges the request or
    // cancels the attempt.
    void check_for_silence(Request& request);
    void hedge_or_cancel(Request& request);
    void retry(Request& request);

    // Handles the expiry of a timer of a request that waits for a host, a lease, a permit or an answer's end.
    void check_waiting(Request& request);
    // Has an arriving response streamed that has been held back for long enough.
    void check_arriving_responses(Request& request);
    void hold_back(Request& request);
    // Has the response streamed whose header arrived last. Returns false if none is arriving.
    bool stream_arriving_response(Request& request);

    void record_outcome(Host& host, const AttemptEnded& ended, const Request* request);
    // Completes the request without a complete answer from a host. Has an arriving answer streamed. Rejects a
    // request without one if it was not executed or if a second execution is harmless, and otherwise fails
    // it.
    void give_up(Request& request, RejectionReason reason);
    void reject(Request& request, Micros retry_after, RejectionReason reason);
    // Removes a completed request and releases its reserved units and permits.
    void release(Request& request);

    [[nodiscard]] Request* find(RequestId id);
    [[nodiscard]] const RequestClass& class_of(const Request& request) const;
    // Latency objective in seconds of the request's class, or of the first class if `request` is null.
    [[nodiscard]] double objective_s(const Request* request) const;

    Context& context_;
    Modules& modules_;
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<RequestId, OrphanedAttempts> orphaned_;
    std::vector<std::pair<Customer*, int>> inherited_;  // attempts in flight of the predecessor process
};

}  // namespace gateway::decision

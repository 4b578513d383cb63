// The way of a request: arrive, quota, concurrency permit, pacing, dispatch to a host, outcome, then retry or
// completion.
#pragma once

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "modules.h"
#include "request.h"

namespace gateway::decision {

// Owns the requests in hand and walks them through the modules, which keep the rest of the state. Admission
// is in request_admission.cpp, everything after it in request_dispatch.cpp.
class RequestFlow {
  public:
    explicit RequestFlow(Modules& modules);

    // ---- events of requests ----
    void on_arrived(const RequestArrived& arrival);
    void on_attempt_ended(const AttemptEnded& ended);
    void on_response_started(const ResponseStarted& response);
    void on_client_disconnected(const ClientDisconnected& client);
    void on_health_check_ended(const HealthCheckEnded& check);
    void on_timer(TimerKind kind, RequestId id);

    // ---- events of quotas and permits ----
    void on_lease_grant(int from, const LeaseGrant& grant);
    void on_lease_timeout(std::uint32_t nonce);
    void on_permit_request(const PermitRequest& request, int from);
    void on_permit_grant(const PermitGrant& grant, int from);
    void on_permit_renewal(std::uint32_t customer_hash);

    // ---- changes of the hosts ----
    // Sends queued requests to hosts that have capacity.
    void dispatch_queued();
    // Drops hosts that are gone and have nothing in flight.
    void remove_departed_hosts();

    // ---- upgrades ----
    // Another process takes over: rejects what waits for a lease or a permit, and forgets lease requests.
    void reject_waiting();
    // Attempts of the former process count as in flight, for as long as they are likely to take.
    void track_inherited_attempts();
    void end_inherited_attempts();

  private:
    // Attempts in flight of a request that is completed. Until they end they count against the customer's
    // concurrency limit.
    struct OrphanedAttempts {
        Customer* customer;
        int in_flight;
    };

    // ---- admission ----
    Request& create(const RequestArrived& arrival);
    [[nodiscard]] Micros latest_start(const RequestArrived& arrival) const;
    // Admits a request that quota and permits cover, or has it wait for what it lacks.
    void seek_admission(Request& request);
    void await_permit(Request& request);
    void admit(Request& request);
    // Beyond the quota: rejects with the wait, unless the settings say that excess earns.
    void reject_or_admit_excess(Request& request, Micros wait, RejectionReason reason);
    // Asks for a lease for the customer's first waiting request.
    void acquire_lease(Customer& customer);
    void admit_from_even_slice(Request& request);
    void apply_grant(Customer& customer, const LeaseGrant& grant);
    // Admits what the grant covers; whether that was anything.
    bool credit(Customer& customer, const LeaseGrant& grant);
    void admit_waiting_for_permit(Customer& customer);
    void request_permits(Customer& customer, bool renew);
    void drop_completed(std::vector<RequestId>& ids) const;

    // ---- dispatch ----
    // Sends the request, or queues it until a host has capacity or its latest start has come.
    void dispatch(Request& request);
    // Sends it if a host can take it, or has the best hosts' health checked; false where neither is possible.
    bool try_send(Request& request);
    void check_health_of_candidates(Request& request);
    void send(Request& request, Host& host);
    // Health checks are in, or took too long: the better of the hosts that answered.
    void send_to_best_candidate(Request& request);
    // Expected answers are missing: ejects the host, and hedges the request or cancels the attempt.
    void check_for_silence(Request& request);
    void hedge_or_cancel(Request& request);
    void retry(Request& request);

    // ---- outcomes and completion ----
    void record_outcome(Host& host, const AttemptEnded& ended, const Request* request);
    // Completes without an answer: rejects where it is sure or harmless that nothing was executed, else
    // fails.
    void give_up(Request& request, RejectionReason reason);
    void reject(Request& request, Micros retry_after, RejectionReason reason);
    // The request is completed: gives back what it holds.
    void release(Request& request);

    [[nodiscard]] Request* find(RequestId id);
    [[nodiscard]] const RequestClass& class_of(const Request& request) const;
    // Latency objective in seconds; of the first class, where the request is not known.
    [[nodiscard]] double objective_s(const Request* request) const;

    Context& context_;
    Modules& modules_;
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<RequestId, OrphanedAttempts> orphaned_;
    std::vector<std::pair<Customer*, int>> inherited_;  // attempts of the former process
};

}  // namespace gateway::decision

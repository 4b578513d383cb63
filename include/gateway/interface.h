// Settings, events and actions of the decision module, and `Gateway`, which turns events into actions.
//
// The embedding process owns the clock, timers, connections and messages. It builds one `Gateway` for each
// gateway instance, passes events to `Gateway::handle` in the order in which they happen, and carries out the
// actions that the call appends. All times are microseconds of one monotonic clock, whose origin is
// arbitrary.
//
// A host is an endpoint of the service behind the gateway. Peers are the other gateways of the fleet. Units
// measure what a request costs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gateway::decision {

using Micros = std::chrono::microseconds;
using RequestId = std::uint64_t;

// Settings, passed once to the constructor of `Gateway`.

// Whether a request may be executed twice without harm.
enum class Idempotency {
    // A second execution does no harm.
    idempotent,
    // Hosts drop a second execution by its idempotency key, within the deduplication scope and window.
    with_key,
    // A second execution does harm.
    not_idempotent,
};
// The set of hosts that share their store of idempotency keys: all hosts, or those of one zone or cell.
enum class DeduplicationScope { all, zone, cell };
// When hosts report their load: never, with each answer, or in reply to a health check.
enum class LoadReports { none, in_answers, on_probe };

// Properties common to all requests of one class.
struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::idempotent;
    // Hosts that share idempotency keys. Used only for `with_key`.
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    // An answer within this time earns the full weight. Must be above 0.
    Micros latency_objective{0};
    // The longest time that a client waits for its answer. Must be above 0.
    Micros deadline{0};
    // Used only for `with_key`: how long hosts store an idempotency key.
    Micros deduplication_window{0};
    double priority_weight = 1;
    // Share of the weight that an answer after the latency objective earns.
    double late_weight_share = 0;
};

// The contract limits of a customer.
struct Plan {
    std::string name;
    double rate = 0;          // quota in units per second; 0: no rate quota
    double burst = 0;         // capacity in units of the quota's token bucket
    int max_concurrency = 0;  // maximum number of attempts in flight; 0: no concurrency limit
    double weight_factor = 1;
    double excess_weight_share = 0;  // share of the weight that a request beyond the quota earns
    double excess_cost_share = 0;    // share of the weight that admitting a request beyond the quota costs
    double ceiling_rate = 0;         // hard rate limit in units per second; 0: no ceiling
    double ceiling_burst = 0;        // capacity in units of the ceiling's token bucket
};

// The configuration of one gateway.
struct Settings {
    int rank = 0;       // number of this gateway in the fleet, from 0 to `instances` - 1
    int instances = 1;  // number of gateways in the fleet
    std::string zone;   // zone of this gateway
    std::vector<RequestClass> classes;
    std::vector<Plan> plans;

    // Actions that the gateway is allowed to take.

    // Maximum number of attempts for one request, including the first.
    int max_attempts = 1;
    // Whether a second attempt may be sent while the first is in flight.
    bool may_hedge = false;
    // Whether an attempt in flight may be cancelled.
    bool may_cancel = false;
    // Whether health checks may be sent to hosts.
    bool may_check_health = false;
    // Whether messages may be sent to other gateways.
    bool may_message_peers = false;
    // Whether rejections carry the time after which the client should retry.
    bool may_send_retry_after = false;
    // Longest time after which a rejected client should retry. No part of this program applies it.
    Micros max_retry_after{0};
    // Rate of peer messages, per second, that one gateway can receive.
    double messages_per_s = 0;
    // Whether answers report the units that a request actually used.
    bool units_settled_later = false;
    // Maximum units of one request; 0: unknown.
    double max_units = 0;
    LoadReports reports = LoadReports::none;

    // Properties of the environment.

    // Resolution of the timers.
    Micros tick{0};
    // An attempt whose connection is not established within this time ends without being sent.
    Micros connect_timeout{0};
    // Time from a host's start until it has its full capacity.
    Micros slow_start_time{0};
    // Time window over which the load of a warming host is summed.
    Micros overload_time{0};
    // A warming host fails when its load exceeds this multiple of its capacity.
    double overload_multiple = 1;
    // Share of its full capacity that a host has at its start.
    double slow_start_capacity = 1;

    // Cost of sending a request to another zone, as a share of the request's weight.
    double cross_zone_cost = 0;
};

// Events, the input of `Gateway::handle`.

// Whether a host accepts requests, only finishes those that it has, or has left the endpoint list.
enum class HostState { up, draining, gone };

// One host of the endpoint list.
struct HostEntry {
    std::string host;  // unique name of the host
    std::string zone;
    std::string kind;       // model of the host
    std::int64_t cell = 0;  // group of hosts that may share their store of idempotency keys
    HostState state = HostState::up;
    double weight = 1;  // relative capacity
    Micros started{0};  // clock time of the latest start; 0: the host has been running for a long time
};

// A load report that a host sent. Values below 0 were not reported.
struct LoadReport {
    double queued = -1;       // number of requests that wait at the host
    double outstanding = -1;  // number of requests that the host has accepted and not answered yet
    double utilization = -1;  // share of its cores that is busy
};

// How an attempt or a health check ended.
enum class Outcome {
    success,
    error,           // the host answered that it failed
    rejected,        // the host answered that it is overloaded; the attempt was not executed
    timeout,         // no answer within the attempt's timeout
    connect_failed,  // no connection was established; the attempt was not executed
    reset,           // the connection broke before the answer was complete
    cancelled,       // this gateway cancelled the attempt
    not_sent,        // this gateway sent no byte of the attempt; does not count as a failure of the host
};

// A change of the endpoint list.
struct HostsChanged {
    bool complete_list = false;  // false: `entries` holds only the entries that changed
    std::vector<HostEntry> entries;
};
// An operator banned a host or lifted the ban. Bans are independent of the endpoint list: an update of the
// list never lifts a ban.
struct HostBanned {
    std::string host;
    bool banned = true;
};
// A client sent a request.
struct RequestArrived {
    RequestId id = 0;  // unique among the requests that are not completed
    std::string customer;
    int plan = 0;           // index into Settings::plans; below 0: unknown, no quota
    int request_class = 0;  // index into Settings::classes
    double units = 1;
    Micros time_left{0};  // time until the client gives up
    int set_size = 1;     // number of gateways through which this customer's requests arrive
    int set_start = 0;  // rank of the first such gateway; the ranks are consecutive, modulo the fleet's size
};
// An attempt ended with an answer or a failure.
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;  // number of the attempt, counted from 0
    std::string host;
    Outcome outcome = Outcome::success;
    Micros elapsed{0};               // time since the attempt was sent
    bool request_completed = false;  // whether the request has its final answer
    double actual_units = 0;         // units that the request actually used; 0: unknown
    LoadReport report;
};
// The header of a successful answer without a length has arrived, and the answer is not complete yet. It may
// be longer than the process can hold back, and its client has to get the first part of a long answer in
// time.
struct ResponseArriving {
    RequestId id = 0;
    int attempt = 0;  // number of the attempt, counted from 0
};
// The first part of a streamed answer was sent to the client, which completes the request. The attempt stays
// in flight until the answer ends.
struct ResponseStarted {
    RequestId id = 0;
    std::string host;
};
// A health check ended with an answer or a failure.
struct HealthCheckEnded {
    std::string host;
    Outcome outcome = Outcome::success;
    Micros elapsed{0};
    LoadReport report;
};
// The client has closed its connection or cancelled the request.
struct ClientDisconnected {
    RequestId id = 0;
};
// A datagram of a peer arrived.
struct MessageArrived {
    int from = 0;  // rank of the peer
    std::string bytes;
};
// A timer expired that SetTimer started.
struct TimerFired {
    std::uint64_t token = 0;  // token of the SetTimer action
};
// An upgrade changed which process decides. If `to_successor`, another process takes over: the gateway
// answers with SaveSnapshot and admits no further request. Otherwise the other process has ended, and this
// process admits requests again, with quotas as after a process start.
struct HandedOver {
    bool to_successor = true;
};
// The snapshot that the predecessor process saved. A snapshot of another version is ignored. Of a truncated
// snapshot, the readable part is restored.
struct RestoreSnapshot {
    std::string bytes;
};

using Event = std::variant<HostsChanged, HostBanned, RequestArrived, AttemptEnded, ResponseStarted,
                           HealthCheckEnded, ClientDisconnected, MessageArrived, TimerFired, HandedOver,
                           RestoreSnapshot, ResponseArriving>;

// Actions, the output of `Gateway::handle`.

// Why an attempt is sent. A hedge is a second attempt while an earlier one is in flight.
enum class AttemptReason { first, retry, hedge };

// Why the gateway itself completes a request.
enum class RejectionReason {
    expired_on_arrival,
    handed_over,             // another process takes over
    over_quota,              // the request exceeds the rate quota or the ceiling
    over_concurrency_limit,  // a concurrency permit would be free too late
    warm_up_limit,           // the warm-up limiter would release the request too late
    queue_full,              // the request waited longest in a queue longer than hosts could serve soon
    no_host_available,       // no host had capacity before the latest start
    no_lease_in_time,        // no quota lease was granted before the latest start
    retry_not_allowed,  // an attempt failed; idempotency, deduplication or the attempt limit forbid a retry
    retry_budget_exhausted,  // an attempt failed, and the retry budget is spent
    too_late_to_retry,       // an attempt failed, and a retry could not be answered in time
    deadline_exceeded,       // the client's deadline has passed
};

// The names of the enumerators, as they appear in logs and metrics.
[[nodiscard]] const char* to_string(AttemptReason reason);
[[nodiscard]] const char* to_string(RejectionReason reason);
[[nodiscard]] const char* to_string(Outcome outcome);

// Sends the request to a host. AttemptEnded reports the result.
struct SendAttempt {
    RequestId id;
    std::string host;
    Micros timeout;  // time after which the attempt ends as Outcome::timeout; above 0
    AttemptReason reason = AttemptReason::first;
    // Time within which the host has to receive the complete request; otherwise the attempt has to be
    // aborted, so that the host never receives the rest. Above 0; empty: no limit.
    std::optional<Micros> delivery_timeout = {};
};
// Completes the request with the promise that it was not executed, or that executing it again is harmless.
struct RejectRequest {
    RequestId id;
    Micros retry_after;  // time after which the client should retry; 0: no Retry-After
    RejectionReason reason = RejectionReason::deadline_exceeded;
};
// Completes the request with a failure: the request may have been executed.
struct FailRequest {
    RequestId id;
    RejectionReason reason = RejectionReason::deadline_exceeded;
};
// Cancels an attempt in flight.
struct CancelAttempt {
    RequestId id;
    int attempt;
};
// Sends the part of an arriving answer that the process has to the client, and the rest as it arrives,
// instead of waiting for the complete answer. ResponseStarted reports that, unless the attempt has ended:
// then AttemptEnded does.
struct StreamResponse {
    RequestId id;
    int attempt;
};
// Sends a health check. HealthCheckEnded reports its result.
struct CheckHealth {
    std::string host;
};
// Starts a timer. TimerFired reports its expiry with the same token. Timers cannot be cancelled.
struct SetTimer {
    Micros from_now;
    std::uint64_t token;
};
// Sends a datagram to one peer or to all of them.
struct SendMessage {
    int to;  // rank of the peer; below 0: every peer
    std::string bytes;
};
// Passes the state of this gateway to the successor process, which restores it.
struct SaveSnapshot {
    std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, CheckHealth, SetTimer,
                            SendMessage, SaveSnapshot, StreamResponse>;

// Decides for one gateway. Decisions are deterministic: equal settings, seed and events give equal actions.
class Gateway {
  public:
    // Throws std::invalid_argument if the settings are invalid; its message names the setting.
    Gateway(Settings settings, std::uint64_t seed, Micros now);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;

    // Handles one event at clock time `now` and appends the resulting actions in the order of their
    // execution.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);
    // Whether the timer with this token still has to fire. A timer whose request has been completed may be
    // dropped.
    [[nodiscard]] bool awaits_timer(std::uint64_t token) const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::decision

// Settings, events and actions of the decision module, and `Gateway`, which turns events into actions.
//
// A host process owns the clock, timers, connections and messages. It builds one `Gateway` for each gateway
// instance, feeds it events in the order in which they happen, and carries out the actions that it appends.
// All times are microseconds of one monotonic clock, whose origin is arbitrary. A host is an endpoint of the
// service behind the gateway; peers are the other gateways of the fleet. Units measure what a request costs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gateway::decision {

using Micros = std::chrono::microseconds;
using RequestId = std::uint64_t;

// ---- settings, given once at start ----------------------------------------------------------------------

// Whether a request may be executed twice without harm.
enum class Idempotency {
    idempotent,      // a second execution does no harm
    with_key,        // hosts drop a second execution by its idempotency key, within limits
    not_idempotent,  // a second execution does harm
};
// The hosts that share their memory of idempotency keys.
enum class DeduplicationScope { all, zone, cell };
// When hosts report their load.
enum class LoadReports { none, in_answers, on_probe };

// What all requests of one class have in common.
struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;  // for `with_key`
    Micros latency_objective{0};     // an answer within this time earns the full weight; above 0
    Micros deadline{0};              // the longest time that a client waits; above 0
    Micros deduplication_window{0};  // for `with_key`: how long hosts remember a key
    double priority_weight = 1;
    double late_weight_share = 0;  // share of the weight earned after the latency objective
};

// The limits of one customer, by contract.
struct Plan {
    std::string name;
    double rate = 0;          // quota in units a second; 0: no rate quota
    double burst = 0;         // units that the quota's token bucket holds
    int max_concurrency = 0;  // attempts in flight at once; 0: no such limit
    double weight_factor = 1;
    double excess_weight_share = 0;  // share of the weight that a request beyond the quota earns
    double excess_cost_share = 0;    // share of the weight that admitting a request beyond the quota costs
    double ceiling_rate = 0;         // hard limit in units a second; 0: no ceiling
    double ceiling_burst = 0;        // units that the ceiling's token bucket holds
};

struct Settings {
    int rank = 0;       // of this gateway, from 0 to `instances` - 1
    int instances = 1;  // gateways in the fleet
    std::string zone;   // of this gateway
    std::vector<RequestClass> classes;
    std::vector<Plan> plans;

    // What the gateway may do.
    int max_attempts = 1;               // for one request, the first included
    bool may_hedge = false;             // send a second attempt while the first is in flight
    bool may_cancel = false;            // cancel an attempt in flight
    bool may_check_health = false;      // send health checks to hosts
    bool may_message_peers = false;     // send messages to other gateways
    bool may_send_retry_after = false;  // tell rejected clients when to come again
    Micros max_retry_after{0};
    double messages_per_s = 0;         // messages from peers that one gateway takes in
    bool units_settled_later = false;  // answers tell the units that a request really took
    double max_units = 0;              // of one request; 0: unknown
    LoadReports reports = LoadReports::none;

    // Figures of the environment.
    Micros tick{0};                  // resolution of the timers
    Micros connect_timeout{0};       // an attempt whose connection is not up by then ends unsent
    Micros slow_start_time{0};       // from a host's start until it has its full capacity
    Micros overload_time{0};         // over which the load of a warming host is summed up
    double overload_multiple = 1;    // of its capacity, beyond which a warming host fails
    double slow_start_capacity = 1;  // share of its full capacity that a host has at its start

    double cross_zone_cost = 0;  // of a request sent to another zone, as a share of its weight
};

// ---- events ---------------------------------------------------------------------------------------------

enum class HostState { up, draining, gone };

struct HostEntry {
    std::string host;  // its unique name
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    HostState state = HostState::up;
    double weight = 1;  // relative capacity
    Micros started{0};  // clock time of the latest start; 0: long ago
};

// A host's own report of its load. Values below 0 were not reported.
struct LoadReport {
    double queued = -1;       // requests waiting
    double outstanding = -1;  // requests in the host's hands
    double utilization = -1;  // busy share of its cores
};

// How an attempt or a health check ended.
enum class Outcome {
    success,
    error,           // the host answered that it failed
    rejected,        // the host answered that it is overloaded; nothing was executed
    timeout,         // no answer within the attempt's timeout
    connect_failed,  // no connection came up; nothing was executed
    reset,           // the connection broke before the whole answer
    cancelled,       // by this gateway
    not_sent,        // nothing left this gateway
};

// A change of the endpoint list.
struct HostsChanged {
    bool complete_list = false;  // false: only the entries that changed
    std::vector<HostEntry> entries;
};
// Operators take a host out or put it back. Independent of the endpoint list: no list lifts a ban.
struct HostBanned {
    std::string host;
    bool banned = true;
};
struct RequestArrived {
    RequestId id = 0;  // unique among the requests in hand
    std::string customer;
    int plan = 0;           // index into Settings::plans; below 0: unknown, no quota
    int request_class = 0;  // index into Settings::classes
    double units = 1;
    Micros time_left{0};  // until the client gives up
    int set_size = 1;     // gateways through which this customer's requests arrive
    int set_start = 0;    // rank of the first of them; the others follow, modulo the fleet's size
};
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;  // counted from 0
    std::string host;
    Outcome outcome = Outcome::success;
    Micros elapsed{0};               // since the attempt was sent
    bool request_completed = false;  // the request has its final answer
    double actual_units = 0;         // that the request really took; 0: unknown
    LoadReport report;
};
// A streamed answer has begun to go to the client, which completes the request. The attempt stays in flight
// until the answer ends.
struct ResponseStarted {
    RequestId id = 0;
    std::string host;
};
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
struct MessageArrived {
    int from = 0;  // rank of the peer
    std::string bytes;
};
struct TimerFired {
    std::uint64_t token = 0;  // of the SetTimer
};
// An upgrade. `away`: another process takes over; answered by SaveSnapshot, and from then on this one admits
// nothing. Otherwise the other process has ended, and this one takes its quotas back.
struct HandedOver {
    bool away = true;
};
// The snapshot that the process before this one has saved. One of another version is ignored; of one that is
// cut short, what can be read is used.
struct RestoreSnapshot {
    std::string bytes;
};

using Event =
    std::variant<HostsChanged, HostBanned, RequestArrived, AttemptEnded, ResponseStarted, HealthCheckEnded,
                 ClientDisconnected, MessageArrived, TimerFired, HandedOver, RestoreSnapshot>;

// ---- actions --------------------------------------------------------------------------------------------

enum class AttemptReason { first, retry, hedge };

// Why the gateway itself completes a request.
enum class RejectionReason {
    expired_on_arrival,
    handed_over,             // another process takes over
    over_quota,              // beyond the rate quota or the ceiling
    over_concurrency_limit,  // a concurrency permit would come too late
    warm_up_limit,           // the warm-up limiter would release it too late
    queue_full,              // more requests wait for a host than hosts could soon take
    no_host_available,       // no host had capacity until the latest start
    no_lease_in_time,        // no quota lease came until the latest start
    retry_not_allowed,  // an attempt failed; idempotency, deduplication or the attempt limit forbid a retry
    retry_budget_exhausted,  // an attempt failed, and the retry budget is spent
    too_late_to_retry,       // an attempt failed, and a retry could not be in time
    deadline_exceeded,       // the client's time is over
};

// The names of the values, as logs and metrics show them.
[[nodiscard]] const char* to_string(AttemptReason reason);
[[nodiscard]] const char* to_string(RejectionReason reason);
[[nodiscard]] const char* to_string(Outcome outcome);

struct SendAttempt {
    RequestId id;
    std::string host;
    Micros timeout;  // after which the attempt ends as Outcome::timeout; above 0
    AttemptReason reason = AttemptReason::first;
};
// Completes the request with the promise that it was not executed, or that executing it again is harmless.
struct RejectRequest {
    RequestId id;
    Micros retry_after;  // 0: no advice
    RejectionReason reason = RejectionReason::deadline_exceeded;
};
// Completes the request without any promise.
struct FailRequest {
    RequestId id;
    RejectionReason reason = RejectionReason::deadline_exceeded;
};
struct CancelAttempt {
    RequestId id;
    int attempt;
};
// Sends a health check, answered by HealthCheckEnded.
struct CheckHealth {
    std::string host;
};
// Answered by TimerFired with the token. Timers are not cancelled.
struct SetTimer {
    Micros from_now;
    std::uint64_t token;
};
struct SendMessage {
    int to;  // rank of a peer; below 0: every peer
    std::string bytes;
};
// The state that the next process restores.
struct SaveSnapshot {
    std::string bytes;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, CheckHealth, SetTimer,
                            SendMessage, SaveSnapshot>;

// ---- the module -----------------------------------------------------------------------------------------

// The decisions of one gateway. Deterministic: equal settings, seed and events give equal actions.
class Gateway {
  public:
    // Throws std::invalid_argument where the settings cannot work; its message names the setting.
    Gateway(Settings settings, std::uint64_t seed, Micros now);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;

    // Decides on one event at clock time `now`; appends what is to be done, in order.
    void handle(Micros now, const Event& event, std::vector<Action>& actions);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::decision

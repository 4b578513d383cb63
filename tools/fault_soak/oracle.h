// Checks the invariants that every gateway must keep against the observations of clients, hosts and
// discovery.
//
// Observers report events with the time of the soak's own clock. The oracle checks an invariant as soon as
// the event decides it, and checks the others in finish(). Time limits that a busy machine could exceed are
// extended by OracleSettings::slack.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"

namespace fault_soak {

// Whether a request may be executed twice without harm.
enum class Idempotency {
    idempotent,
    // For a limited time, the hosts of one zone drop a second execution with the same idempotency key.
    with_key,
    not_idempotent,
};

// The rules that every gateway must keep.
enum class Invariant {
    // Each request gets its final response in time.
    request_answered,
    // No request is executed more often than its idempotency allows.
    no_duplicate,
    // No attempt is sent to a host that is draining, gone or banned.
    drain_respected,
    // No request that may have been executed is rejected with a status that promises a harmless retry.
    safe_rejection,
    // No attempt begins after the client has disconnected.
    disconnect_honoured,
    // Each successful response is one that a host sent for this request.
    genuine_response,
    // The deadline that is forwarded to a host is not later than the client's deadline.
    deadline_forwarded,
    // No gateway exits unless the soak ends it, and none fails to shut down gracefully.
    no_crash,
    // A gateway is ready soon after its start.
    ready_in_time,
    // A client that violates the protocol gets an error response or a close in time.
    bad_client_closed,
    // A host in slow start gets no more than its share of the load.
    slow_start_budget,
    // No gateway reports a fault of its own in its metrics or its log.
    no_reported_fault,
};

// Returns the name under which violations are printed. Incident reports cite these names, so they must not
// change.
[[nodiscard]] const char* name_of(Invariant invariant);

// One observed violation of an invariant.
struct Violation {
    Invariant invariant;
    Time at;
    // Trace id of the request. Empty if the violation does not concern a single request.
    std::string trace;
    std::string text;
};

// The outcomes of the requests of a run.
struct RequestCounts {
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    // Responses with status 429 or 503.
    std::uint64_t rejected = 0;
    // Responses with any other error status, and responses that broke off.
    std::uint64_t failed = 0;
    std::uint64_t unanswered = 0;
    // Unanswered requests for which no gateway is responsible.
    std::uint64_t excused = 0;
    std::uint64_t disconnected = 0;
    std::uint64_t attempts = 0;
};

// The gateway settings that the invariants depend on.
struct OracleSettings {
    // Attempts may still reach a host for this long after the gateway knows that the host is draining.
    Duration drain_grace{250};
    Duration deduplication_window{2000};
    // The longest deadline of all request classes.
    Duration longest_deadline{1500};
    double slow_start_capacity = 0.2;
    double overload_multiple = 2.5;
    // Requests per second that a host can serve after its slow start.
    double full_requests_per_second = 60;
    Duration slow_start_time{4000};
    Duration overload_time{1000};
    // Added to time limits, because a busy machine can delay the soak itself.
    Duration slack{100};
};

// Receives the observations of a run and collects violations.
class Oracle {
  public:
    Oracle(OracleSettings settings, int gateways, int hosts);

    // Events of gateways.

    void gateway_started(int gateway, Time at);
    void gateway_ready(int gateway, Time at);
    // The soak has sent SIGTERM.
    void gateway_terminated(int gateway, Time at);
    // The soak has sent SIGKILL.
    void gateway_killed(int gateway, Time at);
    // The process has exited. `expected` is false if no fault ended the process, which is a violation.
    void gateway_exited(int gateway, Time at, bool expected);

    // Events of discovery and operators.

    // The endpoint list no longer contains the host as ready.
    void host_withdrawn(int host, Time at);
    // The endpoint list contains the host as ready again. If `restarted` is set, the host begins a slow
    // start.
    void host_returned(int host, Time at, bool restarted);
    // From `at` on, the gateway is assumed to know every change of the list up to `list_time`.
    void list_delivered(int gateway, Time list_time, Time at);
    // Operators have banned a host at one gateway at the time `at`, or have lifted the ban if `at` is empty.
    void host_banned(int gateway, int host, std::optional<Time> at);

    // Events of clients.

    void request_sent(const std::string& trace, Idempotency idempotency, int gateway, Time at, Time deadline);
    // The client has sent the request again because the connection was closed before the request was read.
    void request_resent(const std::string& trace, int gateway, Time at);
    void client_disconnected(const std::string& trace, Time at);
    // The client has received a response, from `first_byte_at` to `at`. `status` is 0 for a response that
    // broke off.
    void response_received(const std::string& trace, unsigned status, const std::string& body,
                           Time first_byte_at, Time at);
    // No response is expected any more, and the gateway is not responsible for the missing response. `reason`
    // is recorded as an event of the request.
    void excuse(const std::string& trace, const char* reason);
    // The gateway has closed the connection without a response. `read`: whether the gateway must have read
    // the request before.
    void closed_unanswered(const std::string& trace, Time at, bool read);

    // Events of hosts.

    // How a host has treated an attempt.
    enum class HostOutcome { no_response, success, error, not_executed };

    // A host has received the last byte of an attempt. Returns the index of the attempt among those of the
    // request. `forwarded_ms` is the remaining time that the gateway has forwarded to the host, in
    // milliseconds.
    std::size_t attempt_received(const std::string& trace, int gateway, int host, const std::string& zone,
                                 Time first_byte_at, Time at, std::int64_t forwarded_ms);
    // A host has decided the outcome of an attempt. Has no effect for an attempt of an unknown request.
    void attempt_ended(const std::string& trace, std::size_t attempt, HostOutcome outcome,
                       const std::string& body);

    // The gateway has closed the connection of an attempt at `at` while the host was writing a sound response
    // of over 64 KiB, whose header it had written at `head_at`.
    void response_cut_off(const std::string& trace, std::size_t attempt, Time head_at, Time at);

    // Records a violation.
    void report(Invariant invariant, const std::string& trace, const std::string& text, Time at);
    // Checks the invariants that can be decided only after the run.
    void finish();
    [[nodiscard]] const std::vector<Violation>& violations() const noexcept { return violations_; }
    [[nodiscard]] const RequestCounts& counts() const noexcept { return counts_; }
    // Returns the events of a request, one per line, with times relative to `origin`. Empty for an unknown
    // request.
    [[nodiscard]] std::string trace_text(const std::string& trace, Time origin) const;

  private:
    struct Attempt {
        int gateway = 0;
        int host = 0;
        std::string zone;
        // Body of the response of the host.
        std::string body;
        Time first_byte_at;
        Time received;
        HostOutcome outcome = HostOutcome::no_response;
        // Times of the response's header and of its end by the gateway, if that came before the host's.
        std::optional<std::pair<Time, Time>> cut_off;
    };
    struct Request {
        Idempotency idempotency = Idempotency::idempotent;
        int gateway = 0;
        Time sent;
        Time deadline;
        std::optional<Time> disconnected;
        std::optional<Time> answered;
        bool excused = false;
        // The connection was closed without a response.
        bool closed = false;
        // The request had been read when its connection was closed without a response.
        bool read_before_close = false;
        // Whether the client has a complete response with status 200.
        bool served = false;
        std::vector<Attempt> attempts;
        // Collected for trace_text().
        std::vector<std::pair<Time, std::string>> events;
    };
    struct GatewayHistory {
        std::vector<Time> kills;
        std::optional<Time> started;
        std::optional<Time> terminated;
        // Times of SIGTERM and of the exit.
        std::vector<std::pair<Time, Time>> shutdowns;
    };
    struct HostHistory {
        // Time since which the list does not contain the host as ready. Empty while the host is listed as
        // ready.
        std::optional<Time> withdrawn;
        // Start of the latest slow start.
        std::optional<Time> slow_start;
        // For each gateway, the time since which it knows that the host is withdrawn.
        std::vector<std::optional<Time>> known_since;
        // For each gateway, the time of the ban. Empty while the gateway has no ban on the host.
        std::vector<std::optional<Time>> banned;
        // Attempts during a slow start, within the last `overload_time`.
        std::vector<Time> recent_attempts;
    };

    [[nodiscard]] GatewayHistory& gateway_history(int gateway);
    [[nodiscard]] HostHistory& host_history(int host);
    [[nodiscard]] bool excused_by_gateway(const Request& request) const;
    // Whether the request came so late in a shutdown that its answer has to precede SIGKILL.
    [[nodiscard]] bool sent_late_in_shutdown(const Request& request) const;
    void check_cut_off(const std::string& trace, const Request& request);
    void check_disconnect(const std::string& trace, const Request& request, const Attempt& attempt);
    void check_deadline(const std::string& trace, const Request& request, const Attempt& attempt,
                        std::int64_t forwarded_ms);
    void check_duplicate(const std::string& trace, const Request& request, const Attempt& attempt);
    void check_drain(const std::string& trace, const Attempt& attempt);
    void check_slow_start(const std::string& trace, HostHistory& host, Time at);
    void check_response(const std::string& trace, const Request& request, const std::string& body, Time at);
    void check_rejection(const std::string& trace, const Request& request, Time at);
    static void record_event(Request& request, Time at, std::string text);

    OracleSettings settings_;
    std::vector<GatewayHistory> gateways_;
    std::vector<HostHistory> hosts_;
    // Keyed by trace id.
    std::map<std::string, Request> requests_;
    std::vector<Violation> violations_;
    RequestCounts counts_;
};

}  // namespace fault_soak

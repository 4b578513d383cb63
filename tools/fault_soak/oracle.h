// The invariants that every gateway has to keep, checked against what clients, hosts and discovery observe.
//
// Observers report what they see, with the time of the soak's own clock. The oracle checks at once what can
// be decided at once, and the rest in finish(). Limits of time that a busy machine could exceed are extended
// by OracleSettings::slack.
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
    with_key,  // hosts of one zone drop a second execution by its idempotency key, for a limited time
    not_idempotent,
};

enum class Invariant {
    request_answered,     // each request gets its final response in time
    no_duplicate,         // no request is executed more often than its idempotency allows
    drain_respected,      // no attempt is sent to a host that drains, is gone or is banned
    safe_rejection,       // no request that may have been executed is rejected as harmless to retry
    disconnect_honoured,  // no attempt begins after the client has disconnected
    genuine_response,     // a response is one that a host gave to this request
    deadline_forwarded,   // the deadline forwarded to a host is no later than the client's
    no_crash,             // no gateway exits unless the soak ends it
    ready_in_time,        // a gateway is ready soon after its start
    bad_client_closed,    // a bad client gets an error or a close in time
    slow_start_budget,    // a host in slow start gets no more than its share of load
    no_reported_fault,    // no gateway reports a fault of its own, by metrics or log
};

// The name that violations are printed with. Incident reports cite these names, so that they stay as they
// are.
[[nodiscard]] const char* name_of(Invariant invariant);

struct Violation {
    Invariant invariant;
    Time at;
    std::string trace;  // trace id of the request; empty: not about one request
    std::string text;
};

// What became of the requests of a run.
struct RequestCounts {
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t rejected = 0;  // 429 or 503
    std::uint64_t failed = 0;    // any other status, or a response that was cut short
    std::uint64_t unanswered = 0;
    std::uint64_t excused = 0;  // unanswered, and no gateway is to blame
    std::uint64_t disconnected = 0;
    std::uint64_t attempts = 0;
};

// The settings of the gateways that invariants depend on.
struct OracleSettings {
    Duration drain_grace{
        250};  // attempts may still reach a host so long after the gateway knows that it drains
    Duration deduplication_window{2000};
    Duration longest_deadline{1500};  // of any class of requests
    double slow_start_capacity = 0.2;
    double overload_multiple = 2.5;
    double full_requests_per_second = 60;  // that a host bears after its slow start
    Duration slow_start_time{4000};
    Duration overload_time{1000};
    Duration slack{100};  // for the machine's own lateness
};

class Oracle {
  public:
    Oracle(OracleSettings settings, int gateways, int hosts);

    // ---- gateways ----

    void gateway_started(int gateway, Time at);
    void gateway_ready(int gateway, Time at);
    // SIGTERM was sent.
    void gateway_terminated(int gateway, Time at);
    // The soak has sent SIGKILL.
    void gateway_killed(int gateway, Time at);
    void gateway_exited(int gateway, Time at, bool expected);

    // ---- discovery ----

    // The endpoint list has a host no longer as ready.
    void host_withdrawn(int host, Time at);
    // The endpoint list has a host as ready again; `restarted`: it begins a slow start.
    void host_returned(int host, Time at, bool restarted);
    // From `at` on the gateway is taken to know every change of the list up to `list_time`.
    void list_delivered(int gateway, Time list_time, Time at);
    // Operators have banned a host at one gateway; nothing: they have lifted the ban.
    void host_banned(int gateway, int host, std::optional<Time> at);

    // ---- clients ----

    void request_sent(const std::string& trace, Idempotency idempotency, int gateway, Time at, Time deadline);
    // Sent once more, as the connection was closed before the request was read.
    void request_resent(const std::string& trace, int gateway, Time at);
    void client_disconnected(const std::string& trace, Time at);
    // `status`: 0 for a response that was cut short.
    void response_received(const std::string& trace, unsigned status, const std::string& body, Time at);
    // No response will come, and the gateway is not to blame.
    void excuse(const std::string& trace, const char* reason);
    void closed_unanswered(const std::string& trace, Time at);

    // ---- hosts ----

    // What a host has done with an attempt.
    enum class HostOutcome { no_response, success, error, not_executed };

    // The last byte of an attempt has come. Gives its index among the attempts of the request.
    // `forwarded_ms`: the time left that the gateway has forwarded.
    std::size_t attempt_received(const std::string& trace, int gateway, int host, const std::string& zone,
                                 Time first_byte, Time at, std::int64_t forwarded_ms);
    // No effect for an attempt of an unknown request.
    void attempt_ended(const std::string& trace, std::size_t attempt, HostOutcome outcome,
                       const std::string& body);

    // ---- results ----

    void report(Invariant invariant, const std::string& trace, const std::string& text, Time at);
    // Checks what can be decided only when the run is over.
    void finish();
    [[nodiscard]] const std::vector<Violation>& violations() const noexcept { return violations_; }
    [[nodiscard]] const RequestCounts& counts() const noexcept { return counts_; }
    // What happened to a request, a line for each event, with times since `origin`. Empty for an unknown one.
    [[nodiscard]] std::string trace_text(const std::string& trace, Time origin) const;

  private:
    struct Attempt {
        int gateway = 0;
        int host = 0;
        std::string zone;
        std::string body;  // of the host's response
        Time first_byte;
        Time received;
        HostOutcome outcome = HostOutcome::no_response;
    };
    struct Request {
        Idempotency idempotency = Idempotency::idempotent;
        int gateway = 0;
        Time sent;
        Time deadline;
        std::optional<Time> disconnected;
        std::optional<Time> answered;
        bool excused = false;
        bool closed = false;  // its connection was closed without a response
        std::vector<Attempt> attempts;
        std::vector<std::pair<Time, std::string>> events;  // for trace_text()
    };
    struct GatewayHistory {
        std::vector<Time> kills;
        std::optional<Time> started;
        std::optional<Time> terminated;
        std::vector<std::pair<Time, Time>> shutdowns;  // SIGTERM, exit
    };
    struct HostHistory {
        std::optional<Time> withdrawn;  // nothing: it is listed as ready
        std::optional<Time> slow_start;
        std::vector<std::optional<Time>> known;   // when a gateway knew of `withdrawn`, by gateway
        std::vector<std::optional<Time>> banned;  // by gateway
        std::vector<Time> recent_attempts;        // during the slow start
    };

    [[nodiscard]] GatewayHistory& gateway_history(int gateway);
    [[nodiscard]] HostHistory& host_history(int host);
    [[nodiscard]] bool excused_by_gateway(const Request& request) const;
    void check_disconnect(const std::string& trace, const Request& request, const Attempt& attempt);
    void check_deadline(const std::string& trace, const Request& request, const Attempt& attempt,
                        std::int64_t forwarded_ms);
    void check_duplicate(const std::string& trace, const Request& request, const Attempt& attempt);
    void check_drain(const std::string& trace, const Attempt& attempt);
    void check_slow_start(const std::string& trace, HostHistory& host, Time at);
    void check_response(const std::string& trace, const Request& request, const std::string& body, Time at);
    void check_rejection(const std::string& trace, const Request& request, Time at);
    static void note(Request& request, Time at, std::string text);

    OracleSettings settings_;
    std::vector<GatewayHistory> gateways_;
    std::vector<HostHistory> hosts_;
    std::map<std::string, Request> requests_;  // by trace id
    std::vector<Violation> violations_;
    RequestCounts counts_;
};

}  // namespace fault_soak

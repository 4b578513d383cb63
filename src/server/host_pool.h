// The pool of connections to the hosts, which carry attempts and health checks.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "endpoint_list.h"
#include "handover.h"
#include "host_connection.h"
#include "host_result.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

// Sends attempts and health checks to the hosts of the endpoint list, over connections that it keeps alive
// between exchanges.
class HostPool final : private HostConnectionOwner {
  public:
    using AttemptKey = server::AttemptKey;

    struct Callbacks {
        // Called exactly once with the result of each attempt, possibly before `attempt` returns.
        std::function<void(const AttemptKey&, const std::string& uid, HostResult&&)> on_attempt_result;
        // Called exactly once with the result of each health check, possibly before `check_health` returns.
        std::function<void(const std::string& uid, HostResult&&)> on_health_check_result;
        // Called when the header of a successful response without a length has arrived and the response is
        // incomplete, at most once for each attempt.
        std::function<void(const AttemptKey&)> on_response_arriving = {};
        // Called with the header and the first part of the body of a successful response that is streamed.
        // Reading from the host pauses until `resume_reading` is called. Returns false to cancel the attempt,
        // if no client waits for the response any more. If this callback is not set, no response is streamed,
        // and one that is too long to be buffered counts as malformed.
        std::function<bool(const AttemptKey&, const std::string& uid, HostResult&&)> on_response_started = {};
        // Called with a further piece of a streamed response; the last piece is part of the result that
        // `on_attempt_result` receives. Reading pauses again until `resume_reading` is called.
        std::function<void(const AttemptKey&, std::string&& piece)> on_response_piece = {};
        // Called when a connection is closed or handed over.
        std::function<void(HostCloseReason reason)> on_closed = {};
    };

    // `host_idle_timeout`: the time after which hosts close idle connections. `min_idle_time`: the time that
    // a connection stays idle before the next request is written.
    HostPool(boost::asio::io_context& io, SocketBudget& budget, std::chrono::microseconds connect_timeout,
             std::chrono::microseconds host_idle_timeout, Callbacks callbacks,
             std::chrono::microseconds min_idle_time = std::chrono::milliseconds(10));
    ~HostPool();
    HostPool(const HostPool&) = delete;
    HostPool& operator=(const HostPool&) = delete;

    // Applies an endpoint list. Ends the attempts at hosts that are draining or gone if their request is
    // unsent.
    void update(const EndpointList& list);
    // Bans a host or lifts its ban, as operators request. Ends the attempts at a banned host if their request
    // is unsent. Endpoint lists do not lift a ban.
    void ban(const std::string& uid, bool banned);
    // Sends the request to the host. The attempt times out after `timeout`, or after `delivery_timeout` if
    // the host's machine has not received the complete request by then; empty: no such limit.
    void attempt(const AttemptKey& key, const std::string& uid, Request& message,
                 std::chrono::microseconds timeout,
                 std::optional<std::chrono::microseconds> delivery_timeout = {});
    // Ends the attempt with the outcome `cancelled`. Does nothing if the attempt is not in flight.
    void cancel(const AttemptKey& key);
    // Ends the attempts of the request that are unsent, with the outcome `withdrawn`.
    void cancel_unsent(std::uint64_t request);
    // Starts to stream the response that is arriving for the attempt, without waiting for more of it. Returns
    // false if there is none that may be streamed.
    bool stream_arriving(const AttemptKey& key, StreamReason reason);
    // Continues to read a streamed response after a piece of it has been forwarded.
    void resume_reading(const AttemptKey& key);
    // Sends a health check to the host.
    void check_health(const std::string& uid);

    // Passes the socket of an idle connection to another process.
    using PassSocket =
        std::function<void(Descriptor&&, const std::string& uid, std::chrono::microseconds idle_for)>;
    // Hands all idle connections over to another process. Closes those that can't be reused.
    void hand_over(const PassSocket& pass_socket);
    // Takes over an idle connection of another process. Closes it if its host accepts no requests or the
    // connection can't be used.
    void adopt(Descriptor&& socket, const std::string& uid, std::chrono::microseconds idle_for);

    // The number of connections with an exchange in flight.
    [[nodiscard]] std::size_t busy() const { return busy_connections_.size(); }
    // The uids of the hosts that operators have banned.
    [[nodiscard]] const std::unordered_set<std::string>& banned() const { return banned_; }

  private:
    using ConnectionPointer = std::shared_ptr<HostConnection>;

    void on_exchange_ended(const ConnectionPointer& connection) override;
    void on_idle(const ConnectionPointer& connection) override;
    void on_idle_closing(const ConnectionPointer& connection) override;
    void on_closed(HostCloseReason reason, const std::string& uid) override;
    void on_attempt_result(const AttemptKey& key, const std::string& uid, HostResult&& result) override;
    void on_health_check_result(const std::string& uid, HostResult&& result) override;
    bool streams_responses() const override;
    void on_response_arriving(const AttemptKey& key) override;
    bool on_response_begun(const AttemptKey& key, const std::string& uid, HostResult&& result) override;
    void on_response_piece(const AttemptKey& key, std::string&& piece) override;

    void end_requests_to_unavailable_hosts();
    static void close_unusable_idle(PooledHost& host);
    template <class Predicate>
    void end_unsent(HostOutcome outcome, Predicate predicate);
    ConnectionPointer connection_of(const AttemptKey& key) const;
    ConnectionPointer acquire(const std::string& uid, HostOutcome& failure);
    static ConnectionPointer take_idle(PooledHost& host);
    template <class Condition>
    static ConnectionPointer take_idle_if(PooledHost& host, Condition condition);
    ConnectionPointer make_connection(const std::shared_ptr<PooledHost>& host);
    bool evict_one_idle();
    void close_expired_idle();

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    const std::chrono::microseconds connect_timeout_;
    const std::chrono::microseconds idle_timeout_;
    const std::chrono::microseconds min_idle_time_;  // between two exchanges on a connection
    Callbacks callbacks_;
    std::unordered_map<std::string, std::shared_ptr<PooledHost>> hosts_;  // by uid
    // Contains each host with idle connections, even if the host has left the list. Hosts without idle
    // connections are removed at the next sweep.
    std::unordered_set<std::shared_ptr<PooledHost>> hosts_with_idle_;
    std::unordered_set<ConnectionPointer> busy_connections_;
    std::unordered_set<std::string> banned_;
    boost::asio::steady_timer sweep_timer_;
};

}  // namespace gateway::server

// The pool of connections to the hosts, and the attempts and health checks on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
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
        // The results. Each is called once for each attempt and health check, at times before `attempt` or
        // `probe` has returned.
        std::function<void(const AttemptKey&, const std::string& uid, HostResult&&)> on_attempt;
        std::function<void(const std::string& uid, HostResult&&)> on_probe;
        // A successful response that is streamed has begun, and a further piece of it has come; the last
        // piece comes with `on_attempt`. After each the host is read on when `resume_reading` is called.
        // `on_response_started` returns false to have the attempt cancelled, because nobody waits for the
        // response any more. Without `on_response_started` no response is streamed.
        std::function<bool(const AttemptKey&, const std::string& uid, HostResult&&)> on_response_started = {};
        std::function<void(const AttemptKey&, std::string&& piece)> on_piece = {};
        // A connection was closed.
        std::function<void(HostCloseReason cause)> on_closed = {};
    };

    // `idle_limit`: the hosts close idle connections after this. `rest`: for how long a connection is idle at
    // least before it is used again.
    HostPool(boost::asio::io_context& io, SocketBudget& budget, std::chrono::microseconds connect_timeout,
             std::chrono::microseconds idle_limit, Callbacks callbacks,
             std::chrono::microseconds rest = std::chrono::milliseconds(10));
    ~HostPool();
    HostPool(const HostPool&) = delete;
    HostPool& operator=(const HostPool&) = delete;

    // Applies the list. Attempts at a host that drains or is gone end if their request is unsent.
    void update(const EndpointList& list);
    // The same for a host that operators ban, until they lift the ban: the list does not lift it.
    void ban(const std::string& uid, bool banned);
    // Sends the request to the host.
    void attempt(const AttemptKey& key, const std::string& uid, Request& message,
                 std::chrono::microseconds within);
    // Ends the attempt with the outcome `cancelled`. Does nothing if it is not in flight.
    void cancel(const AttemptKey& key);
    // Ends those attempts of the request that are unsent.
    void cancel_unsent(std::uint64_t request);
    // Reads on from the host of a streamed response.
    void resume_reading(const AttemptKey& key);
    // Sends a health check to the host.
    void probe(const std::string& uid);

    // Takes an idle connection for another process.
    using Pass =
        std::function<void(Descriptor&&, const std::string& uid, std::chrono::microseconds idle_for)>;
    // Hands all idle connections over to another process.
    void hand_over(const Pass& pass);
    // Takes over an idle connection of another process, or closes it if it can't be used.
    void adopt(Descriptor&& socket, const std::string& uid, std::chrono::microseconds idle_for);

    // How many connections have an exchange in flight.
    [[nodiscard]] std::size_t busy() const { return busy_connections_.size(); }
    // The uids of the hosts that operators have banned.
    [[nodiscard]] const std::unordered_set<std::string>& banned() const { return banned_; }

  private:
    using ConnectionPointer = std::shared_ptr<HostConnection>;

    void on_exchange_ended(const ConnectionPointer& connection) override;
    void on_idle(const ConnectionPointer& connection) override;
    void on_idle_lost(const ConnectionPointer& connection) override;
    void on_closed(HostCloseReason reason, const std::string& uid) override;
    void on_attempt_result(const AttemptKey& key, const std::string& uid, HostResult&& result) override;
    void on_health_check_result(const std::string& uid, HostResult&& result) override;
    bool streams_responses() const override;
    bool on_response_begun(const AttemptKey& key, const std::string& uid, HostResult&& result) override;
    void on_response_piece(const AttemptKey& key, std::string&& piece) override;

    void end_requests_to_unavailable_hosts();
    static void close_unusable_idle(PooledHost& host);
    template <class Predicate>
    void end_unsent(HostOutcome outcome, Predicate predicate);
    ConnectionPointer connection_of(const AttemptKey& key) const;
    ConnectionPointer acquire(const std::string& uid, HostOutcome& failure);
    ConnectionPointer take_idle(PooledHost& host);
    ConnectionPointer make_connection(const std::shared_ptr<PooledHost>& host);
    bool evict_one_idle();
    void close_expired_idle();

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    const std::chrono::microseconds connect_timeout_;
    const std::chrono::microseconds idle_timeout_;
    const std::chrono::microseconds min_idle_time_;  // of a connection between two exchanges
    Callbacks callbacks_;
    std::unordered_map<std::string, std::shared_ptr<PooledHost>> hosts_;  // by uid
    // All hosts with idle connections, and some that no longer have one. Holds hosts that have left the list
    // until their idle connections are closed.
    std::unordered_set<std::shared_ptr<PooledHost>> hosts_with_idle_;
    std::unordered_set<ConnectionPointer> busy_connections_;
    std::unordered_set<std::string> banned_;
    boost::asio::steady_timer sweep_timer_;
};

}  // namespace gateway::server

// Connections to the hosts: attempts and probes on them, and what became of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "endpoint_list.h"
#include "handover.h"
#include "http.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

struct HostResult {
    HostOutcome outcome = HostOutcome::error;
    std::chrono::microseconds elapsed{0};
    Answer answer;            // whole where served; the last piece of a long one
    std::string load_report;  // as the host wrote it; empty: none
};

class HostPool {
  public:
    struct AttemptKey {
        std::uint64_t request = 0;
        int attempt = 0;
    };
    // The first two are called once for each attempt and probe, at times before `attempt` or `probe` has
    // returned.
    struct Callbacks {
        std::function<void(const AttemptKey&, const std::string& uid, HostResult&&)> on_attempt;
        std::function<void(const std::string& uid, HostResult&&)> on_probe;
        // The begin of a long served answer, and further pieces of it; the last comes with `on_attempt`.
        // After each the host is read on when `read_on` is called. False: nobody wants it, the attempt is
        // cancelled.
        std::function<bool(const AttemptKey&, const std::string& uid, HostResult&&)> on_begun = {};
        std::function<void(const AttemptKey&, std::string&& piece)> on_piece = {};
        std::function<void(HostCloseReason cause)> on_closed = {};
    };

    HostPool(boost::asio::io_context& io, SocketBudget& budget, std::chrono::microseconds connect_timeout,
             std::chrono::microseconds idle_limit, Callbacks callbacks,
             std::chrono::microseconds rest = std::chrono::milliseconds(10));
    ~HostPool();
    HostPool(const HostPool&) = delete;
    HostPool& operator=(const HostPool&) = delete;

    // Takes in the list. What has not been written yet to a host that drains or is gone ends unsent.
    void update(const EndpointList& list);
    // The same for a host that operators take out, until they put it back: the list does not lift it.
    void ban(const std::string& uid, bool banned);
    void attempt(const AttemptKey& key, const std::string& uid, Request& message,
                 std::chrono::microseconds within);
    void cancel(const AttemptKey& key);
    // Ends what has not been written yet of that request's attempts.
    void withdraw(std::uint64_t request);
    void read_on(const AttemptKey& key);
    void probe(const std::string& uid);
    // Idle connections, for another process and from one.
    using Pass =
        std::function<void(Descriptor&&, const std::string& uid, std::chrono::microseconds idle_for)>;
    void hand_over(const Pass& pass);
    void adopt(Descriptor&& socket, const std::string& uid, std::chrono::microseconds idle_for);
    std::size_t busy() const { return busy_.size(); }
    const std::unordered_set<std::string>& banned() const { return banned_; }

  private:
    class Connection;
    struct Host;

    void note_closed(HostCloseReason cause, const std::string& uid);
    void close_idle_of(Host& host);
    void cut_unsent();
    template <class Which>
    void end_unwritten(HostOutcome outcome, Which which);
    std::shared_ptr<Connection> carrier_of(const AttemptKey& key) const;
    std::shared_ptr<Connection> connection_to(const std::string& uid, HostOutcome& why_none);
    bool close_one_idle();
    void sweep();

    boost::asio::io_context& io_;
    SocketBudget& budget_;
    std::chrono::microseconds connect_timeout_, idle_most_;
    std::chrono::microseconds rest_;  // of a connection between two requests
    Callbacks callbacks_;
    std::unordered_map<std::string, std::shared_ptr<Host>> hosts_;
    std::unordered_set<std::shared_ptr<Host>> resting_;  // with idle connections, and some that had such
    std::unordered_set<std::shared_ptr<Connection>> busy_;
    std::unordered_set<std::string> banned_;
    boost::asio::steady_timer sweep_timer_;
};

}  // namespace gateway::server

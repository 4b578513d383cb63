// One connection to a host, and the one exchange at a time on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "clock.h"
#include "handover.h"
#include "host_response_reader.h"
#include "host_result.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

class HostConnection;

// A host as the endpoint list and the operators describe it, and its idle connections.
struct PooledHost {
    std::string uid;
    boost::asio::ip::tcp::endpoint endpoint;
    bool listed_ready = true;
    bool banned = false;
    std::vector<std::shared_ptr<HostConnection>> idle_connections;  // the most recently used one last

    [[nodiscard]] bool accepts_requests() const { return listed_ready && !banned; }
};

// What a connection reports to its owner. The owner outlives each connection that is not closed.
class HostConnectionOwner {
  public:
    // The exchange has ended; the connection is idle or closed next, and its result is reported after that.
    virtual void on_exchange_ended(const std::shared_ptr<HostConnection>& connection) = 0;
    // The connection can be used for a further exchange.
    virtual void on_idle(const std::shared_ptr<HostConnection>& connection) = 0;
    // An idle connection is closed next.
    virtual void on_idle_lost(const std::shared_ptr<HostConnection>& connection) = 0;
    virtual void on_closed(HostCloseReason reason, const std::string& uid) = 0;
    virtual void on_attempt_result(const AttemptKey& key, const std::string& uid, HostResult&& result) = 0;
    virtual void on_health_check_result(const std::string& uid, HostResult&& result) = 0;
    // Whether long responses are streamed; otherwise they are held complete.
    [[nodiscard]] virtual bool streams_responses() const = 0;
    // A streamed response has begun. Returns false to have the attempt cancelled.
    [[nodiscard]] virtual bool on_response_begun(const AttemptKey& key, const std::string& uid,
                                                 HostResult&& result) = 0;
    // A further piece of a streamed response. The last one comes with the result.
    virtual void on_response_piece(const AttemptKey& key, std::string&& piece) = 0;

  protected:
    ~HostConnectionOwner() = default;
};

// A connection to a host. A read is always pending once it is connected, so that its end is noticed while it
// is idle, too. It is never reused after a timeout, a cancellation or anything unexpected.
class HostConnection : public std::enable_shared_from_this<HostConnection> {
  public:
    HostConnection(boost::asio::io_context& io, HostConnectionOwner& owner, std::shared_ptr<PooledHost> host,
                   SocketBudget::Place&& place, std::chrono::microseconds connect_timeout);

    [[nodiscard]] const std::shared_ptr<PooledHost>& host() const { return host_; }
    // The address it is connected to; the host may have moved since.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
    [[nodiscard]] Steady::time_point idle_since() const { return since_; }
    [[nodiscard]] bool carries(const AttemptKey& key) const { return !is_health_check_ && key == key_; }
    [[nodiscard]] bool carries_attempt_of(std::uint64_t request) const {
        return !is_health_check_ && request == key_.request;
    }
    // Whether the last byte of the request has not been written, so that the host can't have executed it.
    [[nodiscard]] bool request_unsent() const {
        return state_ == State::connecting || state_ == State::writing;
    }
    // Whether it has been idle since `time` or longer. A connection whose last exchange was a health check
    // always counts as such, because a host answers a health check once and beside its work.
    [[nodiscard]] bool idle_since_before(Steady::time_point time) const {
        return is_health_check_ || since_ <= time;
    }
    // Whether nothing has arrived and the host has not closed it, as of now. Guards against responses to an
    // earlier request: surplus bytes or an end may be here though no handler has run yet.
    [[nodiscard]] bool silent();

    // Sends the request and reports one result, at times before it returns. Sets the header that tells the
    // host how much time is left.
    void send_attempt(const AttemptKey& key, Request& request, std::chrono::microseconds timeout);
    // Sends a health check and reports one result, at times before it returns.
    void send_health_check(std::chrono::microseconds timeout);
    void cancel() { finish_without_response(HostOutcome::cancelled); }
    // Ends the exchange if its request is unsent.
    void end_if_unsent(HostOutcome outcome);
    // The last piece of a streamed response has been forwarded: reads on.
    void resume_reading();

    // Takes over an idle connection of another process. Returns false where the socket can't be used.
    [[nodiscard]] bool adopt(Descriptor&& socket, std::chrono::microseconds idle_for);
    // Gives up an idle connection for another process.
    [[nodiscard]] Descriptor release();
    void close(HostCloseReason reason);

  private:
    enum class State { fresh, connecting, writing, awaiting_response, idle, closed };

    void start_exchange(bool without_body, std::chrono::microseconds timeout);
    void connect();
    void on_connect_failed(boost::system::error_code cause);

    void set_deadline(Steady::time_point when);
    void on_deadline();

    void write(std::size_t written = 0);
    void update_time_left_header();

    void read();
    void on_readable(boost::system::error_code ec);
    void on_handler_error();
    // Hands on what has come of a streamed response. Returns false where nothing is to be read for now.
    [[nodiscard]] bool stream_response();
    [[nodiscard]] bool begin_streaming();

    void finish_with_response();
    void finish_without_response(HostOutcome outcome);
    void report(HostResult&& result, bool reusable);
    void become_idle(Steady::time_point now);
    void close_idle();

    HostConnectionOwner& owner_;
    const std::shared_ptr<PooledHost> host_;
    const boost::asio::ip::tcp::endpoint endpoint_;
    const std::chrono::microseconds connect_timeout_;
    SocketBudget::Place place_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer connect_retry_timer_;
    HostResponseReader reader_;
    std::string request_buffer_;
    AttemptKey key_;
    bool is_health_check_ = false;
    bool connect_failed_locally_ = false;  // the latest connect
    bool streaming_ = false;               // the response is streamed and has begun
    bool awaiting_resume_ = false;         // a piece of the response is being forwarded
    std::chrono::microseconds began_after_{
        0};                        // time from the exchange's start to a streamed response's begin
    Steady::time_point since_;     // start of the exchange or of idleness
    Steady::time_point deadline_;  // of the exchange
    State state_ = State::fresh;
};

}  // namespace gateway::server

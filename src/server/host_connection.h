// A connection to a host, which carries one exchange (a request and its response) at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
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

// A host as the endpoint list and the operators' bans describe it, with its idle connections.
struct PooledHost {
    std::string uid;
    boost::asio::ip::tcp::endpoint endpoint;
    bool listed_ready = true;
    bool banned = false;
    std::vector<std::shared_ptr<HostConnection>> idle_connections;  // most recently used last

    // Whether the host is listed as ready and not banned.
    [[nodiscard]] bool accepts_requests() const { return listed_ready && !banned; }
};

// The interface through which a connection reports to its owner. The owner has to outlive each connection
// that is not closed.
class HostConnectionOwner {
  public:
    // The exchange has ended. Next the connection becomes idle or is closed, and then the result is reported.
    virtual void on_exchange_ended(const std::shared_ptr<HostConnection>& connection) = 0;
    // The connection is idle and can be reused for a further exchange.
    virtual void on_idle(const std::shared_ptr<HostConnection>& connection) = 0;
    // The connection was idle and is about to be closed.
    virtual void on_idle_closing(const std::shared_ptr<HostConnection>& connection) = 0;
    // The connection was closed, or handed over to another process.
    virtual void on_closed(HostCloseReason reason, const std::string& uid) = 0;
    virtual void on_attempt_result(const AttemptKey& key, const std::string& uid, HostResult&& result) = 0;
    virtual void on_health_check_result(const std::string& uid, HostResult&& result) = 0;
    // Whether long responses are streamed. Otherwise they count as malformed.
    [[nodiscard]] virtual bool streams_responses() const = 0;
    // The header of a successful response without a length has arrived, and the response is incomplete.
    // Called at most once for each attempt.
    virtual void on_response_arriving(const AttemptKey& key) = 0;
    // The header and the first part of a streamed response have arrived. Returns false to cancel the attempt.
    [[nodiscard]] virtual bool on_response_begun(const AttemptKey& key, const std::string& uid,
                                                 HostResult&& result) = 0;
    // A further piece of a streamed response has arrived. The last piece is part of the attempt's result.
    virtual void on_response_piece(const AttemptKey& key, std::string&& piece) = 0;

  protected:
    ~HostConnectionOwner() = default;
};

// A connection to a host. Once it is connected, it waits for input even while it is idle, so that it notices
// when the host closes it. It does not read while a piece of a streamed response is being forwarded. It is
// never reused after a timeout, a cancellation or unexpected input.
class HostConnection : public std::enable_shared_from_this<HostConnection> {
  public:
    // `min_idle_time`: the time between the response to a request and the next request. Input during this
    // time closes the connection, because it would be taken for the response to the next request.
    HostConnection(boost::asio::io_context& io, HostConnectionOwner& owner, std::shared_ptr<PooledHost> host,
                   SocketBudget::Slot&& slot, std::chrono::microseconds connect_timeout,
                   std::chrono::microseconds min_idle_time);

    [[nodiscard]] const std::shared_ptr<PooledHost>& host() const { return host_; }
    // The address that the connection was made to. The host may have moved to another address since.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
    // When the connection became idle. Requires that it is idle.
    [[nodiscard]] Steady::time_point idle_since() const { return phase_started_at_; }
    // Whether the current exchange, or the last one if none is in flight, belongs to this attempt.
    [[nodiscard]] bool carries(const AttemptKey& key) const { return !is_health_check_ && key == key_; }
    [[nodiscard]] bool carries_attempt_of(std::uint64_t request) const {
        return !is_health_check_ && request == key_.request;
    }
    // Whether the request has not been written completely, so that the host can't have executed it.
    [[nodiscard]] bool request_unsent() const {
        return state_ == State::connecting || state_ == State::resting || state_ == State::writing;
    }
    // Whether the next exchange can be written at once, because the connection has been idle for the minimum
    // idle time. Requires that it is idle.
    [[nodiscard]] bool rested(Steady::time_point now) const { return now >= rested_at(); }
    // Whether the last exchange was a health check. Hosts answer these beside their other work.
    [[nodiscard]] bool last_was_health_check() const { return is_health_check_; }
    // Whether the socket has no unread bytes and the host has not closed the connection. Checks the socket
    // itself, because surplus bytes of an earlier response or an end of stream may have arrived although no
    // handler has run yet. Such bytes would be taken for the response to the next request.
    [[nodiscard]] bool has_no_pending_input();

    // Sends the request and reports exactly one result, possibly before this function returns. Sets the
    // request header that tells the host how much time is left. `delivery_timeout`: the time within which the
    // host's machine has to receive the complete request; otherwise the attempt times out, and the host never
    // receives the rest. Empty: no such limit.
    void send_attempt(const AttemptKey& key, Request& request, std::chrono::microseconds timeout,
                      std::optional<std::chrono::microseconds> delivery_timeout);
    // Sends a health check and reports exactly one result, possibly before this function returns.
    void send_health_check(std::chrono::microseconds timeout);
    // Ends the exchange with the outcome `cancelled`.
    void cancel() { finish_without_response(HostOutcome::cancelled); }
    // Ends the exchange if its request is unsent.
    void end_if_unsent(HostOutcome outcome);
    // Starts to stream the response whose header has arrived, without waiting for more of it. Returns false
    // if no response is arriving that may be streamed.
    bool stream_arriving(StreamReason reason);
    // Continues to read a streamed response after the piece that was received last has been forwarded.
    void resume_reading();

    // Takes over the socket of an idle connection of another process. Returns false if it can't be used.
    [[nodiscard]] bool adopt(Descriptor&& socket, std::chrono::microseconds idle_for);
    // Returns the socket of an idle connection, to be handed over to another process.
    [[nodiscard]] Descriptor release();
    void close(HostCloseReason reason);

  private:
    enum class State {
        fresh,
        connecting,
        // An exchange has begun, and its request is written once the minimum idle time is over.
        resting,
        writing,
        awaiting_response,
        idle,
        closed,
    };

    using ExpectedBody = HostResponseReader::ExpectedBody;

    void start_exchange(ExpectedBody body, std::chrono::microseconds timeout);
    void connect();
    void on_connect_failed(boost::system::error_code failure);

    [[nodiscard]] std::chrono::microseconds elapsed_since_start(Steady::time_point now) const {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - phase_started_at_);
    }
    [[nodiscard]] Steady::time_point rested_at() const { return phase_started_at_ + min_idle_time_; }
    void on_rested();
    void set_deadline(Steady::time_point when);
    void on_deadline();
    // Aborts the attempt if the host's machine has not received the complete request.
    void on_delivery_deadline();

    void write(std::size_t written = 0);
    void update_time_left_header();

    void read();
    void on_readable(boost::system::error_code ec);
    void on_handler_error();
    // Forwards the received part of a response that is streamed. Returns false if reading has to pause until
    // `resume_reading` is called.
    [[nodiscard]] bool stream_response();
    void begin_streaming(StreamReason reason);
    void forward_piece();
    void announce_response();
    // The time for which the host may send nothing while a response is streamed.
    [[nodiscard]] std::chrono::milliseconds stall_timeout() const;

    void finish_with_response();
    void finish_without_response(HostOutcome outcome);
    void discard_undelivered_output();
    void report_result(HostResult&& result, bool reusable);
    void become_idle(Steady::time_point now);
    void close_idle();

    HostConnectionOwner& owner_;
    const std::shared_ptr<PooledHost> host_;
    const boost::asio::ip::tcp::endpoint endpoint_;
    const std::chrono::microseconds connect_timeout_;
    const std::chrono::microseconds min_idle_time_;
    SocketBudget::Slot slot_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer connect_retry_timer_;
    HostResponseReader reader_;
    std::string request_buffer_;
    AttemptKey key_;
    bool is_health_check_ = false;
    bool connect_failed_locally_ = false;  // whether the last connect failed because of this machine
    bool streaming_ = false;               // whether forwarding of a streamed response has begun
    bool awaiting_resume_ = false;         // whether reading pauses while a piece is being forwarded
    bool read_pending_ = false;            // whether a handler waits until the socket is readable
    bool response_announced_ = false;      // whether the owner knows that the response is arriving
    // The part of the current response's body that has been forwarded.
    std::size_t forwarded_bytes_ = 0;
    // Time from the start of the exchange until the header of an arriving response was complete, or until the
    // response proved to be long.
    std::chrono::microseconds time_to_stream_start_{0};
    // Start of the exchange, or of the idle time if the connection is idle.
    Steady::time_point phase_started_at_;
    Steady::time_point deadline_;  // of the exchange, until its response is streamed
    // By when the host's machine has to receive the complete request; the maximum value: no limit, or
    // received.
    Steady::time_point delivery_deadline_ = Steady::time_point::max();
    State state_ = State::fresh;
};

}  // namespace gateway::server

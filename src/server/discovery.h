// The client of discovery: polls and watches the endpoint list.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "endpoint_list.h"
#include "http.h"

namespace gateway::server {

// The times of a gateway's calls to discovery. After a failed call the next one waits for the backoff, and
// timeouts in a row double the response timeout: discovery goes on working at calls that were given up, so
// that many gateways with a short timeout would get no answer at all.
struct WatchTiming {
    std::chrono::milliseconds hold{1000};             // how long discovery may hold a watch before it answers
    std::chrono::milliseconds response_timeout{400};  // beyond the hold
    std::chrono::milliseconds max_response_timeout{1600};
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{1600};
    bool polling_is_free = false;  // discovery answers at once, so that no backoff follows a timeout
};

// Polls for the complete list first, or for what is newer than a known list, then watches for what is newer
// than the last answer. After a failure it polls again on a fresh connection: for the complete list, unless
// the agent was only overloaded or late, when the changes suffice and cost discovery less.
class Discovery {
  public:
    using OnList = std::function<void(const EndpointList&)>;

    // The timing for one of so many gateways. `pushed`: the agent has the lists at hand and answers at once;
    // its return after a timeout has to be noticed within a drain's grace period. Otherwise lists are polled
    // from discovery, which many gateways overload with calls that are rejected or given up before their
    // turn. `max_poll_interval`: after a failed call the next one is due within four times this; 0: not
    // bounded.
    [[nodiscard]] static WatchTiming timing_for(int gateways, bool pushed,
                                                std::chrono::microseconds max_poll_interval = {});

    // `known_version`: of the list that the gateway has already; none: the complete list is polled first.
    Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint agent, OnList on_list,
              WatchTiming timing = {}, std::uint64_t seed = 1,
              std::optional<std::int64_t> known_version = {});
    // Uses another agent from now on and polls it for the complete list first, because its versions are not
    // comparable with those of the previous agent.
    void set_agent(const boost::asio::ip::tcp::endpoint& agent);
    // No list is reported any more.
    void stop();

  private:
    enum class Failure { connection_lost, overloaded, timed_out };

    [[nodiscard]] static WatchTiming timing_of_polls(int gateways);
    void poll();
    void send_request();
    void write_request(std::size_t from);
    void read_response();
    void read_more();
    void on_response();
    void on_body(const std::string& body);
    void retry(const char* cause, Failure failure = Failure::connection_lost);
    void reset_connection();
    [[nodiscard]] bool finish_operation(std::size_t generation);

    boost::asio::ip::tcp::endpoint agent_;
    OnList on_list_;
    WatchTiming timing_;
    std::minstd_rand random_;
    std::chrono::milliseconds response_timeout_;  // of the next call
    std::chrono::milliseconds backoff_;           // after the next failure
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer backoff_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<std::chrono::steady_clock::time_point> response_deadline_;  // once the response has begun
    std::string request_;
    std::optional<std::int64_t> version_;  // of the list that the gateway has
    bool connected_ = false;
    bool failing_ = false;  // the last call failed
    bool stopped_ = false;
    bool is_watch_ = false;            // the current call is a watch rather than a poll
    bool agent_has_answered_ = false;  // with a list, or that nothing is newer than the known one
    bool operation_pending_ = false;   // on the stream
    std::size_t generation_ = 0;       // of the connection, so that handlers of a previous one are recognised
};

}  // namespace gateway::server

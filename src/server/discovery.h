// The client of the discovery service: polls and watches the endpoint list.
//
// The calls go to the agent, the local endpoint of discovery. The agent answers a poll without holding it. It
// holds a watch until the list changes, but no longer than the hold time of the call.
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

// The timeouts and backoffs of a gateway's calls to discovery. A failed call is repeated after the backoff.
// Consecutive timeouts double the response timeout: discovery keeps working on abandoned calls, so that many
// gateways with a short timeout would get no answer at all.
struct WatchTiming {
    // How long discovery may hold a watch before it answers without a change.
    std::chrono::milliseconds hold{1000};
    // How long the gateway waits for a response after the hold time.
    std::chrono::milliseconds response_timeout{400};
    std::chrono::milliseconds max_response_timeout{1600};
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{1600};
    // The agent answers a poll without delay, so that a call that timed out is repeated without a backoff.
    bool agent_answers_at_once = false;
};

// Keeps the gateway's endpoint list up to date. Polls first, for the complete list or for the changes since a
// known list, and then watches for the changes since the last answer. After a failure it polls again on a new
// connection. That poll asks for the complete list, unless the agent was only overloaded or late: then the
// changes suffice and cost discovery less.
class Discovery {
  public:
    using OnList = std::function<void(const EndpointList&)>;

    // Returns the timing for a fleet of `gateways` gateways. `pushed`: the agent has the lists at hand and
    // answers without delay. After a timeout, a gateway then has to notice within the grace period of a drain
    // that the agent responds again. If not `pushed`, lists are polled from discovery. Many gateways can
    // overload discovery with calls that it rejects or that they abandon before they are served.
    // `max_poll_interval` applies to polled lists only: after a failed call, the next one is due within four
    // times this interval; 0 sets no limit.
    [[nodiscard]] static WatchTiming timing_for(int gateways, bool pushed,
                                                std::chrono::microseconds max_poll_interval = {});

    // Starts with a poll. `known_version` is the version of the list that the gateway already has; without
    // it, the first poll asks for the complete list. `seed` seeds the jitter of the backoff.
    Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint agent, OnList on_list,
              WatchTiming timing = {}, std::uint64_t seed = 1,
              std::optional<std::int64_t> known_version = {});
    // Switches to another agent. Polls it for the complete list first, because its version numbers are not
    // comparable with those of the previous agent.
    void set_agent(const boost::asio::ip::tcp::endpoint& agent);
    // Ends all calls. `on_list` is not called any more.
    void stop();

  private:
    // The kind of a failed call, which determines the next call.
    enum class Failure { connection_lost, overloaded, timed_out };

    [[nodiscard]] static WatchTiming polling_timing(int gateways);
    // Starts the next call, a poll or a watch.
    void start_call();
    void send_request();
    void write_request(std::size_t from);
    void read_response();
    void read_more();
    void on_response();
    void on_response_body(const std::string& body);
    void retry(const char* cause, Failure failure = Failure::connection_lost);
    void reset_connection();
    [[nodiscard]] bool finish_operation(std::size_t generation);

    boost::asio::ip::tcp::endpoint agent_;
    OnList on_list_;
    WatchTiming timing_;
    std::minstd_rand random_;
    std::chrono::milliseconds response_timeout_;  // for the next call
    std::chrono::milliseconds backoff_;           // delay after the next failure
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer backoff_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    // Set when the first part of a response arrives; the complete response is due by then.
    std::optional<std::chrono::steady_clock::time_point> response_deadline_;
    std::string request_;
    // The version of the gateway's list; unset if the next call has to ask for the complete list.
    std::optional<std::int64_t> version_;
    bool connected_ = false;
    bool failing_ = false;  // whether the last call failed
    bool stopped_ = false;
    bool is_watch_ = false;  // whether the current call is a watch and not a poll
    // Whether the current agent has answered with a list. The list is empty if nothing has changed since the
    // known version.
    bool agent_has_answered_ = false;
    bool operation_pending_ = false;  // whether an asynchronous operation is pending on the stream
    // Number of the current connection. Handlers compare it to detect that they belong to an earlier one.
    std::size_t generation_ = 0;
};

}  // namespace gateway::server

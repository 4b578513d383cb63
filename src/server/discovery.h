// The watch on the list of hosts.
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

// How long a watch is held, how long beyond that an answer may take, and how long after a failure the next
// call waits. Answers that do not come and failures in a row double the latter two, up to `patience_most` and
// `pause_most`, and gateways do not ask all at once: discovery goes on working at calls that were given up,
// so that a short patience kept up by all would leave none of them an answer. Where asking is free, silence
// is wait enough.
struct WatchPace {
    std::chrono::milliseconds hold{1000}, patience{400}, patience_most{1600};
    std::chrono::milliseconds pause_first{100}, pause_most{1600};
    bool free = false;
};

// Asks for the whole list first, or for what is newer than a list known before, then for what is newer than
// the last answer, again and again. An agent that is silent or broken is asked anew on a fresh connection:
// for the whole list, unless it has only had no room or no time, when what is newer will do and costs
// discovery less.
class Discovery {
  public:
    using OnList = std::function<void(const EndpointList&)>;
    // Where lists are pushed, the agent has them at hand, answers at once and for nothing, and what it has
    // counts as told: its return from silence must be noticed within a drain's grace. Where they are asked
    // for, many gateways wear discovery out with calls that it turns away or that are given up before their
    // turn.
    // `ask_within`: after a failed call the next is due within four times this; 0: no such bound.
    static WatchPace pace_among(int gateways, bool pushed, std::chrono::microseconds ask_within = {});

    // `known_version`: of the list that the gateway has already; none: the whole list is asked for first.
    Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent, OnList on_list,
              WatchPace pace = {}, std::uint64_t seed = 1, std::optional<std::int64_t> known_version = {});
    // Asks another agent from now on, first for its whole list: its versions tell nothing of the former
    // one's.
    void move_to(const boost::asio::ip::tcp::endpoint& agent);
    void stop();

  private:
    static WatchPace pace_of_asked(int gateways);
    void ask();
    void send();
    void write(std::size_t from);
    void receive();
    void receive_more();
    void take_answer();
    void take(const std::string& body);
    enum class Lost { connection, no_room, silent };
    void ask_anew(const char* what, Lost lost = Lost::connection);
    void start_over();
    bool goes_on(std::size_t generation);

    boost::asio::ip::tcp::endpoint agent_;
    OnList on_list_;
    WatchPace pace_;
    std::minstd_rand random_;
    std::chrono::milliseconds patience_next_, pause_next_;
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer pause_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<std::chrono::steady_clock::time_point> whole_by_;  // once the answer has begun
    std::string request_;
    std::optional<std::int64_t> version_;
    bool connected_ = false, failing_ = false, stopped_ = false;
    bool waits_ = false;      // the call under way is a watch
    bool answered_ = false;   // this agent has told a list, or that there is nothing newer than the known one
    bool under_way_ = false;  // an operation on the stream
    std::size_t generation_ = 0;  // of the connection, so that handlers of a former one are told apart
};

}  // namespace gateway::server

// Either side of an upgrade: the process that takes over, and the one that leaves everything to it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "handover.h"

namespace gateway::server {

class Upgrade {
  public:
    // What the former process leaves, but for the connections, which follow one by one.
    struct Left {
        Descriptor listener, peers;
        std::vector<HandoverMessage> facts;  // bans, standby, hosts named
        std::string state;                   // of the module
        std::size_t sockets_kept = 0;
    };
    struct Callbacks {
        std::function<void(Left&&)> take_over;
        std::function<void()>
            serve_alone;  // nothing comes of the former process: bind and start from nothing
        std::function<void(HandoverMessage&&)> adopt;  // a connection
        std::function<void()> former_ended;
        std::function<void(HandoverChannel&)> leave;  // to say all that Left holds, then the connections
        std::function<void()> take_back;  // the next process has ended before this one; what had not
                                          // been sent to it follows by `adopt`
        std::function<void(HandoverMessage&&)> told;  // a fact, by the other process
    };
    Upgrade(boost::asio::io_context& io, HandoverPlace&& place, Callbacks callbacks);
    ~Upgrade();
    Upgrade(const Upgrade&) = delete;
    Upgrade& operator=(const Upgrade&) = delete;

    // True: a former process is there, and `take_over` or `serve_alone` follows. False: serve alone, now.
    bool begin();
    // From now on this process could serve.
    void ready();
    // Operators have said something here that holds for both.
    void tell(HandoverMessage::Kind kind, const std::string& text = {});
    bool waiting() const { return former_ && !served_; }
    bool left() const { return left_; }
    // Something is on its way to the next process still.
    bool delivering() const { return next_ && next_->has_unsent(); }

  private:
    void on_former(HandoverMessage&& message);
    void on_next(HandoverMessage&& message);
    void ask();
    void alone(const char* why);
    void wait_for_next();
    void end_next();

    boost::asio::steady_timer patience_;
    HandoverPlace place_;
    Callbacks callbacks_;
    std::shared_ptr<HandoverChannel> former_, next_;
    Left coming_;
    bool greeted_ = false, ready_ = false, asked_ = false, served_ = false, left_ = false,
         next_greeted_ = false;
};

}  // namespace gateway::server

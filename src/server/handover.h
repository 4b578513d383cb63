// How the old and the new process of an upgrade find each other and what they tell each other.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace gateway::server {

// A file descriptor that ends with its holder.
class Descriptor {
  public:
    Descriptor() = default;
    explicit Descriptor(int number) : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(number_, other.number_);
        return *this;
    }
    ~Descriptor();
    int release() { return std::exchange(number_, -1); }
    int get() const { return number_; }
    explicit operator bool() const { return number_ >= 0; }

  private:
    int number_ = -1;
};

struct HandoverMessage {
    enum class Kind : char {
        hello = 'h',     // each side's first: the version
        take = 't',      // the new process can serve: the old one is to leave everything to it
        listener = 'l',  // with its descriptor
        peers = 'p',     // likewise
        state = 's',     // a piece of the module's state
        done = 'd',      // all that is needed to serve has been said: the sockets that the old one keeps
        client = 'c',    // a client's connection: what has been read of its next request
        host = 'o',      // an idle connection to a host, by uid
        ban = 'b',       // both ways: uid
        put_back = 'u',  // likewise
        stand_by = 'y',  // likewise
        activate = 'a',  // likewise
        named = 'n',     // a host that a list has named
    };
    Kind kind = Kind::hello;
    std::string text;
    Descriptor descriptor;
};

// A connection between the two processes. What can't be sent at once is kept in order.
class HandoverChannel : public std::enable_shared_from_this<HandoverChannel> {
  public:
    struct Callbacks {
        std::function<void(HandoverMessage&&)> on_message;
        std::function<void()> on_end;  // the other process has ended, or said what it may not
    };
    HandoverChannel(boost::asio::io_context& io, Descriptor&& socket);
    void start(Callbacks callbacks);
    void send(HandoverMessage::Kind kind, std::string text = {}, Descriptor&& descriptor = {});
    void close();
    // What the other process has not been sent, to be had back once the channel has ended.
    std::deque<HandoverMessage> take_unsent() { return std::exchange(unsent_, {}); }
    bool has_unsent() const { return !closed_ && !unsent_.empty(); }

  private:
    void read();
    bool read_one();
    void flush();
    bool send_one(const HandoverMessage& message);
    void end();

    boost::asio::posix::stream_descriptor socket_;
    boost::asio::steady_timer again_;
    Callbacks callbacks_;
    std::deque<HandoverMessage> unsent_;
    bool waiting_ = false, closed_ = false;
    bool broken_ = false;  // nothing can be sent any more
};

// The place in $TMPDIR where a process waits for the one that comes after it.
class HandoverPlace {
  public:
    // `name` tells one gateway's from another's; an empty folder: there is no such place.
    HandoverPlace(boost::asio::io_context& io, std::string folder, const std::string& name);
    // The process that waits there now; nothing where there is none, or none any more.
    std::shared_ptr<HandoverChannel> find() const;
    // Waits there from now on, in place of any other.
    void wait(std::function<void(std::shared_ptr<HandoverChannel>)> on_comer);
    void stop();

  private:
    void accept();

    boost::asio::io_context& io_;
    std::string folder_, name_;
    boost::asio::posix::stream_descriptor listener_;
    boost::asio::steady_timer accept_pause_;
    std::function<void(std::shared_ptr<HandoverChannel>)> on_comer_;
};

}  // namespace gateway::server

// The channel between the two processes of an upgrade: how they find each other, and their messages.
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

// Owns a file descriptor and closes it.
class Descriptor {
  public:
    Descriptor() = default;
    // A negative number stands for no descriptor, as in system calls.
    explicit Descriptor(int number) noexcept : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(number_, other.number_);
        return *this;
    }
    ~Descriptor();
    // Gives the ownership to the caller.
    int release() noexcept { return std::exchange(number_, none); }
    [[nodiscard]] int get() const noexcept { return number_; }
    explicit operator bool() const noexcept { return number_ >= 0; }

  private:
    static constexpr int none = -1;
    int number_ = none;
};

struct HandoverMessage {
    // The letters go over the wire and stay as they are, because the two processes may be of different
    // releases.
    enum class Kind : char {
        greeting = 'h',           // the first of each side: the protocol version
        takeover_request = 't',   // the successor is able to serve: the predecessor shall hand over
        client_listener = 'l',    // with its descriptor
        peer_socket = 'p',        // with its descriptor
        snapshot = 's',           // a chunk of the decision module's snapshot
        complete = 'd',           // the state is complete; the number of sockets that the predecessor keeps
        client_connection = 'c',  // with its descriptor: a flag and what has been read of the next request
        host_connection = 'o',    // with its descriptor: microseconds of idleness and the host's uid
        ban = 'b',                // in both directions: the host's uid
        unban = 'u',              // likewise
        enter_standby = 'y',      // in both directions
        leave_standby = 'a',      // likewise
        known_host = 'n',         // the uid of a host that an endpoint list has named
    };
    Kind kind = Kind::greeting;
    std::string payload;
    Descriptor descriptor;
};

// A connection to the other process. Messages that can't be sent at once are queued in order. Keeps itself
// alive while an operation of the event loop is pending.
class HandoverChannel : public std::enable_shared_from_this<HandoverChannel> {
  public:
    struct Callbacks {
        std::function<void(HandoverMessage&&)> on_message;
        std::function<void()> on_end;  // the other process has ended, or has sent what is not a message
    };
    // `socket`: connected, non-blocking and of the kind SOCK_SEQPACKET.
    HandoverChannel(boost::asio::io_context& io, Descriptor&& socket);
    // Begins to receive. Required before anything that is sent fails.
    void start(Callbacks callbacks);
    void send(HandoverMessage::Kind kind, std::string payload = {}, Descriptor&& descriptor = {});
    // No callback is called any more.
    void close();
    // The messages that could not be sent, for use after the channel has ended.
    [[nodiscard]] std::deque<HandoverMessage> take_unsent() { return std::exchange(unsent_, {}); }
    [[nodiscard]] bool has_unsent() const { return !closed_ && !unsent_.empty(); }

  private:
    void receive();
    // Whether there may be a further message to read.
    bool receive_one();
    void flush();
    [[nodiscard]] bool send_one(const HandoverMessage& message);
    void end();

    boost::asio::posix::stream_descriptor socket_;
    boost::asio::steady_timer send_retry_;
    Callbacks callbacks_;
    std::deque<HandoverMessage> unsent_;
    bool waiting_to_send_ = false;  // until the socket takes more
    bool closed_ = false;
    bool broken_ = false;  // nothing can be sent any more
};

// The socket in $TMPDIR on which a process listens for its successor.
class HandoverSocket {
  public:
    // `name` distinguishes gateways from each other. With an empty `folder` there is no such socket.
    HandoverSocket(boost::asio::io_context& io, std::string folder, const std::string& name);
    // Connects to the process that listens there; null if there is none.
    [[nodiscard]] std::shared_ptr<HandoverChannel> find() const;
    // Listens there from now on, in place of any other process. A failure is logged.
    void wait(std::function<void(std::shared_ptr<HandoverChannel>)> on_successor);
    void stop();

  private:
    void accept();

    boost::asio::io_context& io_;
    std::string folder_;
    std::string name_;  // of the socket within the folder
    boost::asio::posix::stream_descriptor listener_;
    boost::asio::steady_timer accept_retry_;
    std::function<void(std::shared_ptr<HandoverChannel>)> on_successor_;
};

}  // namespace gateway::server

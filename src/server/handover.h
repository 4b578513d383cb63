// The channel between the two processes of an upgrade: how they find each other, and the messages that they
// exchange.
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
    // A negative number means that there is no descriptor, as in system calls.
    explicit Descriptor(int number) noexcept : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(number_, other.number_);
        return *this;
    }
    ~Descriptor();
    // Returns the descriptor and passes its ownership to the caller.
    int release() noexcept { return std::exchange(number_, none); }
    [[nodiscard]] int get() const noexcept { return number_; }
    explicit operator bool() const noexcept { return number_ >= 0; }

  private:
    static constexpr int none = -1;
    int number_ = none;
};

// A message of the upgrade protocol.
struct HandoverMessage {
    // The values are part of the protocol and must not change, because the two processes may be of different
    // releases.
    enum class Kind : char {
        // The first message in each direction. Payload: the protocol version.
        greeting = 'h',
        // The successor is ready to serve and requests the handover.
        takeover_request = 't',
        // The listening socket for clients, as a descriptor.
        client_listener = 'l',
        // The socket for peer messages, as a descriptor.
        peer_socket = 'p',
        // Payload: a chunk of the decision module's snapshot.
        snapshot = 's',
        // The predecessor has sent its complete state. Payload: the number of sockets that it keeps.
        complete = 'd',
        // A client connection, as a descriptor. Payload: '1' if its next request is its first one, else '0',
        // followed by the bytes that have been read of the next request.
        client_connection = 'c',
        // An idle connection to a host, as a descriptor. Payload: how long it has been idle, in microseconds,
        // a blank and the host's uid.
        host_connection = 'o',
        // An operator has banned a host; sent in both directions. Payload: the host's uid.
        ban = 'b',
        // An operator has unbanned a host; sent in both directions. Payload: the host's uid.
        unban = 'u',
        // An operator has started standby; sent in both directions.
        enter_standby = 'y',
        // An operator has ended standby; sent in both directions.
        leave_standby = 'a',
        // Payload: the uid of a host that an endpoint list has contained.
        known_host = 'n',
        // Payload: a chunk of the endpoint list that the predecessor uses, complete, in discovery's JSON
        // format.
        endpoint_list = 'e',
        // The successor has handed over to a successor of its own; sent to the predecessor, which must not
        // serve
        // again when this process ends.
        superseded = 'f',
        // Trace ids that the successor must not forward. Payload: their hashes, 16 hexadecimal digits each.
        executed_trace_ids = 'i',
    };
    Kind kind = Kind::greeting;
    std::string payload;
    Descriptor descriptor;
};

// A connection to the other process of an upgrade. Messages that cannot be sent at once are queued in order.
// The channel keeps itself alive while an operation of the event loop is pending.
class HandoverChannel : public std::enable_shared_from_this<HandoverChannel> {
  public:
    struct Callbacks {
        std::function<void(HandoverMessage&&)> on_message;
        // The other process has ended, or has sent an invalid message.
        std::function<void()> on_end;
    };
    // `socket`: a connected, non-blocking socket of type SOCK_SEQPACKET.
    HandoverChannel(boost::asio::io_context& io, Descriptor&& socket);
    // Sets the callbacks and starts to receive messages. Must be called before the first `send`: without
    // callbacks, a send that fails would close the channel and nothing would report its end.
    void start(Callbacks callbacks);
    // Queues a message and sends as many queued messages as the socket accepts.
    void send(HandoverMessage::Kind kind, std::string payload = {}, Descriptor&& descriptor = {});
    // Closes the channel. No callback is called after this.
    void close();
    // Moves out the messages that could not be sent, for use after the channel has ended.
    [[nodiscard]] std::deque<HandoverMessage> take_unsent() { return std::exchange(unsent_, {}); }
    [[nodiscard]] bool has_unsent() const { return !closed_ && !unsent_.empty(); }

  private:
    void receive();
    // Receives one message. Returns whether there may be a further one to read.
    bool receive_one();
    void flush();
    [[nodiscard]] bool send_one(const HandoverMessage& message);
    void end();

    boost::asio::posix::stream_descriptor socket_;
    boost::asio::steady_timer send_retry_;
    Callbacks callbacks_;
    std::deque<HandoverMessage> unsent_;
    // Whether sending waits until the socket accepts more data.
    bool waiting_to_send_ = false;
    bool closed_ = false;
    // Whether a send has failed for good.
    bool broken_ = false;
};

// The Unix socket in $TMPDIR on which a process listens for its successor.
class HandoverSocket {
  public:
    // `name` distinguishes the gateways of one machine. If `folder` is empty, there is no socket,
    // and processes do not find each other.
    HandoverSocket(boost::asio::io_context& io, std::string folder, const std::string& name);
    // Connects to the process that listens on the socket. Returns null if there is none.
    [[nodiscard]] std::shared_ptr<HandoverChannel> connect_to_predecessor() const;
    // Listens on the socket from now on, in place of any other process. A failure is logged.
    void listen(std::function<void(std::shared_ptr<HandoverChannel>)> on_successor);
    // Stops listening.
    void stop();

  private:
    void accept();

    boost::asio::io_context& io_;
    std::string folder_;
    // The socket's file name within the folder.
    std::string name_;
    boost::asio::posix::stream_descriptor listener_;
    boost::asio::steady_timer accept_retry_;
    std::function<void(std::shared_ptr<HandoverChannel>)> on_successor_;
};

}  // namespace gateway::server

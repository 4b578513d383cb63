// A connection from a client: reads requests one at a time and writes the response to each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "byte_budget.h"
#include "client_connection_set.h"
#include "client_request.h"
#include "client_request_reader.h"
#include "client_response_encoder.h"
#include "clock.h"
#include "handover.h"
#include "http.h"
#include "reasons.h"
#include "socket_budget.h"

namespace gateway::server {

// The interface through which a connection queries its owner and reports events to it. The owner must outlive
// each connection that is not closed.
class ClientConnectionOwner {
  public:
    // Whether requests may be parsed. Until then, their bytes are buffered.
    [[nodiscard]] virtual bool accepts_requests() const = 0;
    // Whether connections are closed after their next response, because this process is draining or on
    // standby.
    [[nodiscard]] virtual bool draining() const = 0;
    // Whether the health endpoint, /_health, reports success.
    [[nodiscard]] virtual bool healthy() const = 0;
    // Whether connections that are between two requests are handed over to another process.
    [[nodiscard]] virtual bool handing_over() const = 0;
    // Passes the ownership of the socket and the bytes that were read of the next request, for handover to
    // another process. `first_request`: whether the next request is the first on this connection.
    virtual void on_handed_over(Descriptor&& socket, std::string&& unread, bool first_request) = 0;

    [[nodiscard]] virtual std::uint64_t next_request_id() = 0;
    // Passes on a complete request. The owner has to respond to it exactly once.
    virtual void on_request(ClientConnection& connection, ClientRequest&& request) = 0;
    // Reports that all pieces of the request's streamed response so far have been written.
    virtual void on_pieces_written(std::uint64_t request) = 0;
    // Reports that the connection closed before the request was answered. Called after `on_closed`.
    virtual void on_request_abandoned(std::uint64_t request) = 0;
    // Reports that a connection closed. `request`: the id of its request in flight; 0: none.
    virtual void on_closed(ClientCloseReason reason, std::uint64_t connection, std::uint64_t request) = 0;

  protected:
    ~ClientConnectionOwner() = default;
};

// A connection from a client. While a request is in flight, the connection reads all input, so that it
// notices a disconnect of the client at once.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    // `number` identifies the connection in the log. `connected_at`: the estimated time at which the client
    // connected.
    ClientConnection(boost::asio::io_context& io, ClientConnectionOwner& owner,
                     ClientConnectionSet& connections, ByteBudget& body_budget,
                     boost::asio::ip::tcp::socket&& socket, SocketBudget::Slot&& slot, std::uint64_t number,
                     Steady::time_point connected_at);

    [[nodiscard]] std::uint64_t number() const { return number_; }

    // Starts to read from a connection that has just been accepted.
    void start();
    // Starts to read from a connection that another process has handed over. `unread`: the bytes of the next
    // request that the other process had read. `first_request`: whether that request is the first on the
    // connection.
    void start_adopted(std::string_view unread, bool first_request);
    // Parses the buffered bytes and continues to read.
    void process_input();

    // Whether the connection is between two requests, and neither the buffer nor the kernel holds bytes of
    // the next one.
    [[nodiscard]] bool idle() const;
    // Whether the connection has a request in flight, a partly written response, or unread bytes, which may
    // be a request.
    [[nodiscard]] bool busy() const;
    // Whether a response has been written in part only.
    [[nodiscard]] bool writing_response() const {
        return state_ != State::closed && (writing_ || streaming_);
    }
    // Whether the client connected at `connected_by` or before, has sent nothing since that could be a
    // complete request, and is not being answered. A lingering connection also counts.
    [[nodiscard]] bool evictable_newcomer(Steady::time_point connected_by) const;
    // Whether the next request is incomplete and no byte of it has arrived after `since`.
    [[nodiscard]] bool stalled(Steady::time_point since) const;
    // Whether the connection is not closed and its current deadline has been reached.
    [[nodiscard]] bool overdue(Steady::time_point now) const {
        return state_ != State::closed && now >= deadline_;
    }

    // Handles the expiry of the connection's current deadline.
    void on_timeout();

    // Writes the complete response to the request in flight.
    void respond(Answer&& answer);
    // Streams a response: `begin_stream` writes its header and first piece, `write_piece` each further piece.
    void begin_stream(Answer&& first);
    void write_piece(std::string&& piece, bool last);
    // Closes the connection in the middle of a streamed response, so that the client notices that the
    // response is incomplete.
    void abort_stream();
    // Continues with the next request after the owner has answered the previous one.
    void resume();
    // Delays the next request after a rejected one; the response itself is not delayed. Guards against
    // clients that retry rejected requests at full speed: each such request takes processing time from other
    // clients.
    void pause();
    void close(ClientCloseReason reason);

  private:
    friend class ClientConnectionSet;

    enum class State {
        open,
        // Input is not parsed until the pause is over.
        paused,
        // The sending side is shut down, and input is dropped until the client closes the connection.
        lingering,
        // The socket is closed in this process, or has been handed over to another one.
        closed,
    };

    [[nodiscard]] bool between_requests() const;
    [[nodiscard]] bool has_deferred_input() const;
    [[nodiscard]] bool idle_after_response() const;
    [[nodiscard]] bool can_hand_over() const;
    void hand_over();
    void end_pause();
    void set_timeout(Steady::duration timeout) { deadline_ = Steady::now() + timeout; }

    void read();
    [[nodiscard]] bool should_read() const;
    void on_readable();
    void drop_input();

    void parse();
    [[nodiscard]] bool parse_some();
    void extend_body_deadline(bool header_completed, std::size_t bytes);
    void dispatch_request();
    void fail(const UnreadableRequest& error);

    void write();
    [[nodiscard]] bool write_from(std::size_t offset);
    void await_writable(std::size_t offset);
    void on_writable(std::size_t offset);
    void on_written();
    void report_pieces_written();
    void linger();

    boost::asio::io_context& io_;
    ClientConnectionOwner& owner_;
    ClientConnectionSet& connections_;
    // Maintained by ClientConnectionSet.
    ClientConnectionSet::Position position_;
    boost::asio::ip::tcp::socket socket_;
    SocketBudget::Slot slot_;
    const std::uint64_t number_;
    const Steady::time_point connected_at_;
    State state_ = State::open;
    Steady::time_point deadline_;

    ClientRequestReader reader_;
    // The estimated arrival time of the first bytes, if they arrived before the connection was accepted.
    std::optional<Steady::time_point> first_bytes_at_;
    // The arrival time of the first buffered byte.
    Steady::time_point unread_since_;
    // When bytes were last received that were not dropped.
    Steady::time_point last_input_at_;
    // The number of input bytes dropped on this connection.
    std::size_t dropped_bytes_ = 0;
    // The number of body bytes received since they last extended the deadline.
    std::size_t body_bytes_ = 0;
    bool read_pending_ = false;
    // Guards `parse` against recursion.
    bool parsing_ = false;
    // Whether no complete request has been received yet.
    bool first_request_ = true;
    // The length of the latest pause; 0 if the last request was not rejected.
    std::chrono::milliseconds penalty_{0};

    // The id of the request in flight; 0: none.
    std::uint64_t request_ = 0;
    ClientResponseEncoder encoder_;
    // The output that is being written.
    std::string output_;
    // Output to write after `output_`: the last piece of a streamed response.
    std::string next_output_;
    // Whether output is waiting until the socket is writable.
    bool writing_ = false;
    // Whether a response is being streamed and its last piece is still to come.
    bool streaming_ = false;
    // Whether the client wants the connection kept alive.
    bool keep_alive_ = true;
    bool close_after_response_ = false;
};

}  // namespace gateway::server

// One client's connection: the requests on it, one at a time, and the response to each.
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

// What a connection asks of its owner and reports to it. The owner outlives each connection that is not
// closed.
class ClientConnectionOwner {
  public:
    // Whether requests are parsed; before that they wait in the buffers.
    [[nodiscard]] virtual bool accepts_requests() const = 0;
    // Whether responses end their connections, because this process is draining or on standby.
    [[nodiscard]] virtual bool draining() const = 0;
    // Whether the health endpoint reports success.
    [[nodiscard]] virtual bool healthy() const = 0;
    // Whether another process takes over the connections between two requests.
    [[nodiscard]] virtual bool handing_over() const = 0;
    // The connection gives up its socket to another process, with the bytes read of its next request.
    // `first`: that is the connection's first request.
    virtual void on_handed_over(Descriptor&& socket, std::string&& unread, bool first) = 0;

    [[nodiscard]] virtual std::uint64_t next_request_id() = 0;
    // A request is complete. Exactly one response to it is due.
    virtual void on_request(ClientConnection& connection, ClientRequest&& request) = 0;
    // The pieces of the request's streamed response have been written.
    virtual void on_pieces_written(std::uint64_t request) = 0;
    // The connection closed before the request had its response. Called after `on_closed`.
    virtual void on_request_abandoned(std::uint64_t request) = 0;
    // `request`: the one in flight; 0: none.
    virtual void on_closed(ClientCloseReason reason, std::uint64_t connection, std::uint64_t request) = 0;

  protected:
    ~ClientConnectionOwner() = default;
};

// One client's connection. A read is always pending, so that a client that leaves is noticed at once.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    // `number` identifies it in the log. `connected_by`: the latest time by which it is certain to have
    // connected.
    ClientConnection(boost::asio::io_context& io, ClientConnectionOwner& owner,
                     ClientConnectionSet& connections, ByteBudget& body_budget,
                     boost::asio::ip::tcp::socket&& socket, SocketBudget::Place&& place, std::uint64_t number,
                     Steady::time_point connected_by);

    [[nodiscard]] std::uint64_t number() const { return number_; }

    // Starts to read from a connection that has just been accepted.
    void start();
    // Starts to read from a connection of another process, which has read `unread` of the next request.
    void start_adopted(std::string_view unread, bool first);
    // Parses what is buffered and reads on.
    void process_input();

    // Whether it is between two requests, with nothing of the next one in the buffer or in the kernel.
    [[nodiscard]] bool idle() const;
    // Whether it has a request in flight, a response that is not written completely, or unread bytes, which
    // may be a request.
    [[nodiscard]] bool busy() const;
    // Whether it connected by that time and has sent nothing that could be a complete request since, nor is
    // being answered.
    [[nodiscard]] bool evictable_newcomer(Steady::time_point connected_by) const;
    [[nodiscard]] bool overdue(Steady::time_point now) const { return now >= deadline_; }

    // Handles its deadline.
    void on_timeout();
    // Closes it gracefully if it is idle and its client has had a response. No check that it is idle holds
    // until its close: a close with unread bytes would reset the connection, and the client could lose the
    // end of its last response. So this lingers.
    void close_if_idle() {
        if (idle_after_response()) linger();
    }
    // Hands it over to another process if it is between two requests.
    void hand_over_if_possible() {
        if (can_hand_over()) hand_over();
    }

    // Writes the response to the request in flight.
    void respond(Answer&& answer);
    // Writes a response in pieces: its header and first piece, then further ones.
    void begin_stream(Answer&& first);
    void write_piece(std::string&& piece, bool last);
    // Closes the connection in the middle of a streamed response, so that the client can tell that it is not
    // complete.
    void abort_stream();
    // Reads on after a response from outside.
    void resume();
    // Delays the next request after a rejected one. Guards against clients that retry at full speed what
    // can't be served, because each of their requests costs others' time. The response itself is not delayed.
    void pause();
    void close(ClientCloseReason reason);

  private:
    friend class ClientConnectionSet;

    enum class State {
        open,
        paused,     // input is not parsed until the penalty is over
        lingering,  // the sending side is shut down; input is dropped until the client closes
        closed,     // here, or handed over
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
    void take_request();
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
    ClientConnectionSet::Position position_;  // kept by the set
    boost::asio::ip::tcp::socket socket_;
    SocketBudget::Place place_;
    const std::uint64_t number_;
    const Steady::time_point connected_by_;
    State state_ = State::open;
    Steady::time_point deadline_;

    ClientRequestReader reader_;
    // When the first bytes came, if they were here before the connection was accepted.
    std::optional<Steady::time_point> first_bytes_at_;
    Steady::time_point unread_since_;  // when the first of the buffered bytes came
    std::size_t dropped_bytes_ = 0;    // of all input
    std::size_t body_bytes_ = 0;       // since the deadline was last extended for them
    bool read_pending_ = false;
    bool parsing_ = false;                  // guards against recursion
    bool first_request_ = true;             // none has been complete
    std::chrono::milliseconds penalty_{0};  // the latest pause, if the last request was rejected

    std::uint64_t request_ = 0;  // the id of the one in flight; 0: none
    ClientResponseEncoder encoder_;
    std::string output_;       // is being written
    std::string next_output_;  // the last piece of a streamed response, behind it
    bool writing_ = false;     // output has to wait until the socket is writable
    bool streaming_ = false;   // a response is streamed and its last piece has not come
    bool keep_alive_ = true;   // as the client wants it
    bool close_after_response_ = false;
};

}  // namespace gateway::server

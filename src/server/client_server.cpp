#include "client_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

#include "containment.h"
#include "log.h"
#include "shared_address.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// A header's bytes and one read may stand unread; a body is taken up as it comes.
constexpr std::size_t read_at_once = 4096, most_unread = most_header + read_at_once;
constexpr std::size_t small_body = 4096;  // asks for no room: less than its connection costs anyway
// A client that says nothing, or never ends its request, is owed an end within 3 s of connecting; what lies
// between this and that is for the sweep and a loop that is late.
constexpr std::chrono::milliseconds header_most = 2400ms, sweep_period = 100ms;
// A body may take as long as it goes on: this much of it, or the rest, within the pause. The first request's
// pause is shorter, for the reason above.
constexpr std::size_t body_step = 1024;
constexpr std::chrono::milliseconds first_body_pause = 600ms, body_pause = 2s;
constexpr std::chrono::milliseconds idle_most = 10s;  // a kept connection
// Of the descriptors, what kept connections may hold. Many clients ask once and keep theirs for good; what
// they hold, others can't open. Beyond this the one used longest ago ends with each that comes.
constexpr std::size_t kept_part = 6;
constexpr std::chrono::milliseconds write_most = 10s;
// What still comes behind an answer that ends its connection is dropped, within these bounds: a client that
// sends on and on costs no more than that, and what it finds then is a close.
constexpr std::chrono::milliseconds linger_most = 500ms;
constexpr std::size_t linger_most_bytes = 512 * 1024, drop_at_once = 32 * 1024;
// Under shortage a newcomer silent for this long goes first; a client's first request is there well before.
constexpr std::chrono::milliseconds newcomer_grace = 50ms;
// After a request that should not have been sent; doubled with each further one in a row.
constexpr std::chrono::milliseconds pause_first = 20ms, pause_most = 640ms;
// While connections wait for a place all the time, nothing tells when the next of them came: this much before
// its turn at the most, or all that they ask would count as expired.
constexpr auto backlog_age_most = 500ms;
constexpr auto accept_again = 20ms;  // after an accept that failed for want of something
}  // namespace

// One client's connection. A read is always under way, so that a client that leaves is noticed at once.
class ClientServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    // `came`: the latest time by which it is sure to have come.
    Connection(ClientServer& server, tcp::socket&& socket, SocketBudget::Place&& place,
               Steady::time_point came)
        : server_(server),
          socket_(std::move(socket)),
          place_(std::move(place)),
          unread_(most_unread),
          number_(server.next_connection_++),
          came_(came) {
        expect(header_most);
    }
    std::uint64_t number() const { return number_; }

    Connections::iterator self;  // where the server keeps it: there
    Connections* list = nullptr;

    void start() {
        error_code ec;
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        if (socket_.available(ec) > 0) first_bytes_at_ = came_;
        read();
    }
    // As `start`, of one that another process has handed over.
    void go_on_from(std::string_view unread, bool first) {
        first_ = first;
        if (!first) expect(idle_most);
        if (unread.size() > unread_.max_size())
            return close(ClientCloseReason::internal_error);  // no version of this program leaves so much
        unread_.commit(asio::buffer_copy(unread_.prepare(unread.size()), asio::buffer(unread)));
        unread_since_ = Steady::now();
        error_code ec;
        socket_.non_blocking(true, ec);
        parse();
        read();
    }
    void offer() {
        if (passable()) pass();
    }
    // Between requests, with nothing of a next one here or in the kernel.
    bool idle() const {
        error_code ec;
        return between_requests() && unread_.size() == 0 && socket_.available(ec) == 0;
    }
    // What was read before the server opened is heard now.
    void start_parsing() {
        parse();
        read();
    }
    // The same, and it has had an answer: whoever has just connected may be about to ask.
    bool kept() const { return !first_ && !paused_ && idle(); }
    // Nothing whole of it is in hand or being answered, and nothing that the kernel holds could be that.
    bool gives_nothing(std::chrono::steady_clock::time_point since) const {
        error_code ec;
        return !closed_ && came_ <= since &&
               (lingering_ ||
                (request_ == 0 && !writing_ && !has_deferred_input() && socket_.available(ec) == 0));
    }
    // What the kernel holds unread may be a request: it counts as taken.
    bool busy() const {
        error_code ec;
        return !closed_ && !lingering_ &&
               (!between_requests() || has_deferred_input() || socket_.available(ec) > 0);
    }
    bool overdue(std::chrono::steady_clock::time_point now) const { return now >= give_up_; }
    // What a connection that has waited for too long gets: an idle one just ends.
    void time_out() {
        if (request_ != 0 && !(long_ && writing_))
            return expect(idle_most);  // the answer is the runtime's to give in time
        if (paused_) return go_on();
        if (parser_ && !writing_ && !lingering_)
            return fail(http::status::request_timeout, "request not whole in time");
        if (kept()) return linger();
        close(lingering_ ? ClientCloseReason::linger_timeout : ClientCloseReason::timeout);
    }
    // No look at an idle connection holds until its close: what comes in between would have the close reset
    // it, and what its client has not read yet of the last answer could go with that.
    void end_kept() {
        if (kept()) linger();
    }

    void answer(Answer&& answer) {
        request_ = 0;
        const bool keep = keep_alive_ && !server_.leaving();
        close_after_ = !keep;
        strip_connection_fields(answer.base());
        answer.version(version_);
        answer.keep_alive(keep);
        // To HEAD the length is told as a host told it, and nothing follows.
        if (!head_ || answer.count(http::field::content_length) == 0)
            answer.content_length(answer.body().size());
        if (std::exchange(head_, false)) answer.body().clear();
        serialize(answer, out_);
        write();
    }

    // A long answer: its header and first piece, those that follow, and the last.
    void begin(Answer&& first) {
        const std::string piece = std::exchange(first.body(), {});
        const bool keep = keep_alive_ && !server_.leaving();
        const bool known = first.count(http::field::content_length) > 0;
        chunked_ = !known && version_ >= 11;
        // An older client can tell the end by the close alone.
        close_after_ = !keep || (!known && !chunked_);
        strip_connection_fields(first.base());
        first.version(version_);
        http::response<http::empty_body> header(std::move(first.base()));
        header.keep_alive(!close_after_);
        if (chunked_) header.set(http::field::transfer_encoding, "chunked");
        serialize_header(header, out_);
        long_ = true;
        out_ += chunked_ && !piece.empty() ? as_chunk(piece) : piece;
        write();
    }
    void go_on(std::string&& piece, bool last) {
        if (closed_) return;
        std::string text = chunked_ && !piece.empty() ? as_chunk(piece) : std::move(piece);
        if (last && chunked_) text += "0\r\n\r\n";
        if (last) long_ = false, request_ = 0;
        if (writing_) {
            next_ += text;
            return;
        }
        out_ = std::move(text);
        write();
        if (last) resume();
    }
    void break_off() {
        error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);  // not to be taken for an end
        close(ClientCloseReason::answer_broken);
    }

    // After an answer given from outside: what the client has sent meanwhile is taken up.
    void resume() {
        penalty_ = {};
        parse();
        read();
    }
    // Guards against clients that come again at full speed with what can't be served: each turn of theirs
    // costs others' time. The answer itself goes out at once; the next request is heard later, by the sweep
    // at the latest.
    void pause() {
        if (closed_ || lingering_ || writing_) return;
        penalty_ = std::min(penalty_ == 0ms ? pause_first : penalty_ * 2, pause_most);
        paused_ = true;
        move_to(server_.newcomers_, server_.newcomers_.end());  // under shortage it goes before others
        expect(penalty_);
    }

    void close(ClientCloseReason cause) {
        if (std::exchange(closed_, true)) return;
        error_code ec;
        socket_.close(ec);
        server_.note_closed(cause, number_, request_);
        if (const std::uint64_t id = std::exchange(request_, 0)) {
            server_.in_hand_.erase(id);
            server_.callbacks_.on_left(id);
        }
        const auto keep = shared_from_this();
        list->erase(self);
        room_.give_back();
        place_.give_back();
    }

  private:
    using Parser = http::request_parser<http::string_body>;

    bool between_requests() const {
        return !closed_ && request_ == 0 && !writing_ && !lingering_ && !parser_;
    }
    // What has been read of a next request waits until the server opens, or the pause is over.
    bool has_deferred_input() const { return (paused_ || !server_.open_) && unread_.size() > 0; }
    // What stands unread goes along; what the parser has taken up could not.
    bool passable() const {
        return !closed_ && request_ == 0 && !writing_ && !lingering_ && !paused_ && (!parser_ || !taken_up_);
    }
    void pass() {
        error_code ec;
        Descriptor socket(socket_.release(ec));
        if (ec) return close(ClientCloseReason::internal_error);
        closed_ = true;
        server_.note_closed(ClientCloseReason::handed_over, number_, 0);
        const auto keep = shared_from_this();
        list->erase(self);
        place_.give_back();
        server_.pass_(std::move(socket), boost::beast::buffers_to_string(unread_.data()), first_);
    }
    void move_to(Connections& other, Connections::iterator before) {
        other.splice(before, *list, self);
        list = &other;
    }
    void go_on() {
        paused_ = false;
        expect(idle_most);
        parse();
        read();
    }
    void expect(std::chrono::steady_clock::duration within) {
        give_up_ = std::chrono::steady_clock::now() + within;
    }

    void read() {
        if (server_.pass_ && passable()) return pass();
        if (closed_ || reading_) return;
        // A client that sends on and on while nothing of it can be heard is not read further.
        const bool waits = writing_ || paused_ || !server_.open_;
        if (!lingering_ && request_ == 0 && waits && unread_.size() >= read_at_once) return;
        if (lingering_ && dropped_ >= linger_most_bytes) return;
        reading_ = true;
        // Waits first and reads then: what has come stays in the kernel, where idle() sees it. A read that is
        // done but not yet heard of would let an idle-looking connection be closed over its request.
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->reading_ = false;
            if (self->closed_) return;
            if (ec) return self->close(ClientCloseReason::closed_by_client);
            contain(
                "client", [&] { self->take_in(); }, [&] { self->close(ClientCloseReason::internal_error); });
        });
    }
    // Whether a further read has a place. Without one the parser waits for the end of a line that has none:
    // no header limit holds for lines inside a chunked body.
    bool has_room() const { return unread_.size() + read_at_once <= unread_.max_size(); }
    void take_in() {
        if (lingering_) return drop();
        // Behind a request in hand all is read, or its client's leave would stand unseen behind the rest.
        // What is more than any client has to say by then is dropped, and the answer ends the connection.
        if (request_ != 0 && unread_.size() >= most_header) {
            keep_alive_ = false, close_after_ = true;
            if (dropped_ >= linger_most_bytes) return close(ClientCloseReason::flood);
            return drop();
        }
        if (!has_room()) return fail(http::status::request_header_fields_too_large, "line too long");
        error_code ec;
        const std::size_t n = socket_.read_some(unread_.prepare(read_at_once), ec);
        if (ec && ec != asio::error::would_block && ec != asio::error::try_again)
            return close(lingering_ ? ClientCloseReason::linger_timeout
                                    : ClientCloseReason::closed_by_client);
        // The time of a request counts from its arrival, however long it then stands unread.
        if (unread_.size() == 0 && n > 0)
            unread_since_ = std::exchange(first_bytes_at_, std::nullopt).value_or(Steady::now());
        unread_.commit(n);
        parse();
        read();
    }
    void drop() {
        std::array<char, drop_at_once> nowhere;
        error_code ec;
        dropped_ += socket_.read_some(asio::buffer(nowhere), ec);
        if (ec && ec != asio::error::would_block && ec != asio::error::try_again)
            return close(lingering_ ? ClientCloseReason::linger_timeout
                                    : ClientCloseReason::closed_by_client);
        read();
    }

    void parse() {
        if (std::exchange(parsing_, true)) return;  // an answer given within, whose connection goes on here
        while (server_.open_ && unread_.size() > 0 && !closed_ && request_ == 0 && !writing_ && !lingering_ &&
               !paused_)
            if (!parse_some()) break;
        parsing_ = false;
        // A buffer that has grown is given back as soon as nothing stands in it.
        if (unread_.size() == 0 && unread_.capacity() > read_at_once) unread_.shrink_to_fit();
    }
    // Takes up what is here of one request; false where more must come first.
    bool parse_some() {
        if (!parser_) {
            parser_.emplace();
            taken_up_ = false;
            parser_->eager(true);
            parser_->header_limit(most_header);
            parser_->body_limit(max_buffered_body_bytes);
            // The first request's time runs from the connect: bytes that drip in give no more of it.
            if (!first_) expect(header_most);
        }
        error_code ec;
        const bool in_header = !parser_->is_header_done();
        const std::size_t used = parser_->put(unread_.data(), ec);
        unread_.consume(used);
        taken_up_ = taken_up_ || used > 0;
        if (ec == http::error::need_more) ec = {};
        if (ec == http::error::header_limit)
            return fail(http::status::request_header_fields_too_large, "header too large"), true;
        if (ec == http::error::body_limit)
            return fail(http::status::payload_too_large, "body too large"), true;
        if (ec) return fail(http::status::bad_request, "malformed request"), true;
        if (in_header && parser_->is_header_done()) {
            if (!length_within_limit(*parser_))
                return fail(http::status::payload_too_large, "body too large"), true;
            if (!has_unambiguous_length(parser_->get().base()))
                return fail(http::status::bad_request, "unclear length"), true;
            if (!find_room()) return fail(http::status::service_unavailable, "no room for the body"), true;
        }
        if (parser_->is_done()) return take(), true;
        if (parser_->is_header_done()) {
            body_came_ = in_header ? 0 : body_came_ + used;
            if (in_header || body_came_ >= body_step) {
                body_came_ = 0;
                give_up_ = std::max(
                    give_up_, std::chrono::steady_clock::now() + (first_ ? first_body_pause : body_pause));
            }
        }
        if (in_header && parser_->is_header_done() && expects_go_ahead()) return go_ahead(), true;
        return used > 0;
    }
    bool find_room() {
        const auto length = parser_->content_length();
        const std::size_t bytes = length               ? static_cast<std::size_t>(*length)
                                  : parser_->chunked() ? max_buffered_body_bytes
                                                       : 0;
        if (bytes <= small_body) return true;
        room_ = server_.bodies_.take(bytes);
        return static_cast<bool>(room_);
    }
    bool expects_go_ahead() const {
        return boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
    }
    void go_ahead() {
        out_ = "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }

    void take() {
        const bool chunked = parser_->chunked();
        head_ = parser_->get().method() == http::verb::head;
        Request message = parser_->release();
        parser_.reset();
        keep_alive_ = message.keep_alive();
        version_ = message.version();
        strip_connection_fields(message);
        if (chunked) message.content_length(message.body().size());  // the pieces were this connection's own
        first_ = false;
        if (message.target() == "/_health") {
            const bool well = !server_.leaving() && server_.callbacks_.ready();
            return answer(make_answer(well ? http::status::ok : http::status::service_unavailable));
        }
        // One that only asks for health is no client yet, and goes before those that are.
        move_to(server_.known_, server_.known_.end());
        if (message.method() == http::verb::connect || message.method() == http::verb::unknown)
            return fail(http::status::method_not_allowed, "method not allowed");
        ClientRequest request;
        request.room = std::move(room_);
        request.id = request_ = server_.next_id_++;
        request.connection = number_;
        request.arrived = unread_since_;
        request.message = std::move(message);
        server_.in_hand_.emplace(request_, this);
        server_.callbacks_.on_request(std::move(request));
    }

    // Answers what can't be read on from, and ends the connection.
    void fail(http::status status, const char* text) {
        parser_.reset();
        room_.give_back();
        keep_alive_ = false;
        answer(make_answer(status, std::string(text) + '\n'));
    }

    // Most answers fit into the socket at once, which spares the wait for it.
    void write() {
        if (write_on(0)) on_written();
    }
    // Writes on from there; false where the rest has to wait for room, or the connection has ended. A client
    // may take its time as long as it takes something.
    bool write_on(std::size_t from) {
        expect(write_most);
        error_code ec;
        from += write_available(socket_, std::string_view(out_).substr(from), ec);
        if (ec) return close(ClientCloseReason::write_failed), false;
        writing_ = from < out_.size();
        if (writing_) await_room(from);
        return !writing_;
    }
    // Waits first and writes then: each such wait hears of room that is there already.
    void await_room(std::size_t from) {
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), from](error_code failed) {
            if (self->closed_) return;
            if (failed) return self->close(ClientCloseReason::write_failed);
            contain(
                "client", [&] { self->on_room(from); },
                [&] { self->close(ClientCloseReason::internal_error); });
        });
    }
    void on_room(std::size_t from) {
        if (!write_on(from)) return;
        on_written();
        parse();
        read();
    }
    void on_written() {
        if (!next_.empty()) {
            out_ = std::exchange(next_, {});
            return write();
        }
        if (long_) {
            expect(idle_most);
            // Not from within: what is taken at once comes back here for the next piece.
            asio::post(server_.io_, [self = shared_from_this()] {
                if (!self->closed_ && self->long_) self->server_.callbacks_.on_taken(self->request_);
            });
            return;
        }
        if (parser_) return expect(header_most);  // it was the word to go ahead
        expect(idle_most);
        if (close_after_) return linger();
        if (out_.capacity() > 2 * read_at_once) std::string().swap(out_);
    }
    // The sending side ends first and what still comes is read and dropped: a close with unread bytes would
    // reset the connection and could take the answer with it.
    void linger() {
        lingering_ = true;
        move_to(server_.newcomers_, server_.newcomers_.begin());
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        unread_.consume(unread_.size());
        unread_.shrink_to_fit();
        std::string().swap(out_);
        expect(linger_most);
        read();
    }

    ClientServer& server_;
    tcp::socket socket_;
    SocketBudget::Place place_;
    boost::beast::flat_buffer unread_;
    ByteBudget::Room room_;                    // of the body that is read
    std::size_t dropped_ = 0, body_came_ = 0;  // of a body, since its time was last extended
    const std::uint64_t number_;
    Steady::time_point came_;
    std::optional<Steady::time_point>
        first_bytes_at_;               // where they were here before the connection was accepted
    Steady::time_point unread_since_;  // when the first byte of what stands unread came
    std::chrono::milliseconds penalty_{0};
    std::optional<Parser> parser_;
    std::string out_, next_;  // what is being written, and the last piece of a long answer behind it
    std::chrono::steady_clock::time_point give_up_;
    std::uint64_t request_ = 0;  // in hand; 0: none
    unsigned version_ = 11;
    bool keep_alive_ = true, close_after_ = false;
    bool reading_ = false, parsing_ = false, writing_ = false, lingering_ = false, closed_ = false;
    bool paused_ = false, first_ = true;
    bool taken_up_ = false;                // bytes, by the parser
    bool head_ = false;                    // the answer goes without its body
    bool long_ = false, chunked_ = false;  // an answer in pieces, and its coding
};

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& listen, SocketBudget& budget,
                           std::size_t most_bytes, Callbacks callbacks, Descriptor&& listener)
    : io_(io),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      acceptor_(io),
      accept_pause_(io),
      sweep_timer_(io),
      bodies_(most_bytes),
      backlog_since_(Steady::now()) {  // who connects before the loop runs waits from the listening on
    if (listener) {
        acceptor_.assign(listen.protocol(), listener.release());
    } else {
        acceptor_.open(listen.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));  // a restart binds at once
        acceptor_.set_option(reuse_port(true));  // as does one whose former process is there and silent
        acceptor_.bind(listen);
        acceptor_.listen(asio::socket_base::max_listen_connections);
    }
    acceptor_.non_blocking(true);
    budget_.on_shortage(SocketBudget::Side::client, [this] { return make_room(); });
    budget_.on_freed([this] {
        if (!std::exchange(starved_, false)) return;
        asio::post(io_, [this] { accept(); });
    });
    sweep();
    accept();
}
void ClientServer::note_closed(ClientCloseReason cause, std::uint64_t connection, std::uint64_t request) {
    LogLine(LogLevel::debug, "client_closed")
        .with("connection", connection)
        .with("cause", to_string(cause))
        .with("request", request);
    if (callbacks_.on_closed) callbacks_.on_closed(cause, request);
}

ClientServer::~ClientServer() {
    budget_.on_freed({});
    budget_.on_shortage(SocketBudget::Side::client, {});
    callbacks_.on_left = [](std::uint64_t) {};
    callbacks_.on_closed = {};
    while (!newcomers_.empty()) newcomers_.front()->close(ClientCloseReason::shutdown);
    while (!known_.empty()) known_.front()->close(ClientCloseReason::shutdown);
}

void ClientServer::open() {
    if (std::exchange(open_, true)) return;
    const Connections waiting = newcomers_;  // parsing moves them
    for (const auto& connection : waiting)
        contain(
            "client", [&] { connection->start_parsing(); },
            [&] { connection->close(ClientCloseReason::internal_error); });
}
// One accept is under way unless there is no room for a further client: then the next comes with a freed
// place.
void ClientServer::accept() {
    if (accepting_ || pass_ || !acceptor_.is_open()) return;
    accepting_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code waited) {
        accepting_ = false;
        if (pass_ || !acceptor_.is_open()) return;
        // Broken off for a handover that was taken back before this was heard of.
        if (waited) return accept();
        accept_waiting();
    });
}

void ClientServer::accept_waiting() {
    error_code ec;
    const bool had_place = take_one(ec);
    if (!connection_waits()) backlog_since_.reset();
    else if (!backlog_since_) backlog_since_ = Steady::now();
    if (!had_place) {
        starved_ = true;
        return;
    }
    const bool short_of_something = ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
                                    ec == asio::error::no_memory || ec.value() == ENFILE;
    if (!short_of_something) return accept();
    // Guards against a spin: whoever holds the descriptors, the connection that waits would wake this at once
    // and for ever. Room is made, and the next try comes after a pause.
    LogLine(LogLevel::warning, "accept_failed").with("error", ec.message());
    make_room();
    accept_pause_.expires_after(accept_again);
    accept_pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
    });
}

bool ClientServer::connection_waits() {
    pollfd listener{acceptor_.native_handle(), POLLIN, 0};
    return ::poll(&listener, 1, 0) > 0;
}
// Never later than the connection at the head of the backlog did come, but for one that has waited very long.
Steady::time_point ClientServer::came_by() const {
    const auto now = Steady::now();
    return std::max(backlog_since_.value_or(now), now - backlog_age_most);
}

// False where no place was left for it.
bool ClientServer::take_one(error_code& ec) {
    std::optional<SocketBudget::Place> place = budget_.take(SocketBudget::Side::client);
    if (!place) return false;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) return true;
    const auto taken = std::make_shared<Connection>(*this, std::move(socket), std::move(*place), came_by());
    taken->self = newcomers_.insert(newcomers_.end(), taken);
    taken->list = &newcomers_;
    LogLine(LogLevel::debug, "client_accepted").with("connection", taken->number());
    taken->start();
    if (known_.size() > budget_.most() / kept_part) close_one_idle();
    return true;
}

std::shared_ptr<ClientServer::Connection> ClientServer::take_from_hand(std::uint64_t id) {
    const auto it = in_hand_.find(id);
    if (it == in_hand_.end()) return nullptr;
    auto connection = it->second->shared_from_this();
    in_hand_.erase(it);
    return connection;
}
void ClientServer::answer(std::uint64_t id, Answer&& answer) {
    if (const auto connection = take_from_hand(id)) {
        connection->answer(std::move(answer));
        connection->resume();
    }
}
void ClientServer::reject(std::uint64_t id, Answer&& answer) {
    if (const auto connection = take_from_hand(id)) {
        connection->answer(std::move(answer));
        connection->pause();
    }
}

void ClientServer::begin_answer(std::uint64_t id, Answer&& first) {
    if (const auto it = in_hand_.find(id); it != in_hand_.end())
        it->second->shared_from_this()->begin(std::move(first));
}
void ClientServer::go_on(std::uint64_t id, std::string&& piece) {
    if (const auto it = in_hand_.find(id); it != in_hand_.end())
        it->second->shared_from_this()->go_on(std::move(piece), false);
}
void ClientServer::end_answer(std::uint64_t id, std::string&& last) {
    if (const auto connection = take_from_hand(id)) connection->go_on(std::move(last), true);
}
void ClientServer::break_answer(std::uint64_t id) {
    if (const auto connection = take_from_hand(id)) connection->break_off();
}

bool ClientServer::close_one_newcomer(std::chrono::steady_clock::duration silent_for) {
    const auto since = std::chrono::steady_clock::now() - silent_for;
    const auto it = std::find_if(newcomers_.begin(), newcomers_.end(),
                                 [&](const auto& c) { return c->gives_nothing(since); });
    if (it == newcomers_.end()) return false;
    (*it)->close(ClientCloseReason::evicted);
    return true;
}
bool ClientServer::close_one_idle() {
    const auto it = std::find_if(known_.begin(), known_.end(), [](const auto& c) { return c->idle(); });
    if (it == known_.end()) return false;
    (*it)->close(ClientCloseReason::evicted);
    return true;
}
// Guards against crowds that connect and say nothing, or never end: they give way to each other before any
// client that has asked for something loses its connection to them.
bool ClientServer::make_room() {
    return close_one_newcomer(newcomer_grace) || close_one_idle() || close_one_newcomer({});
}

void ClientServer::drain() {
    draining_ = true;
    close_idle();
}
void ClientServer::stand_by(bool on) {
    standby_ = on;
    if (on) close_idle();
}
// Those that have asked only for health as well: nobody who is kept would leave by itself.
void ClientServer::close_idle() {
    for (Connections* list : {&newcomers_, &known_})
        for (auto it = list->begin(); it != list->end();) {
            const auto connection = *it++;
            connection->end_kept();
        }
}
bool ClientServer::take_rest() {
    bool any = false;
    if (pass_) return any;  // they are another process's
    for (error_code ec; take_one(ec) && !ec;) any = true;
    // An accept may fail for a moment, or find no place: whoever waits behind it is not passed over.
    return any || connection_waits();
}
Descriptor ClientServer::share_listener() const {
    return Descriptor(::fcntl(const_cast<tcp::acceptor&>(acceptor_).native_handle(), F_DUPFD_CLOEXEC, 0));
}
void ClientServer::hand_over(Pass pass) {
    pass_ = std::move(pass);
    error_code ec;
    acceptor_.cancel(ec);
    for (Connections* list : {&newcomers_, &known_})
        for (auto it = list->begin(); it != list->end();) {
            const auto connection = *it++;
            connection->offer();
        }
}
void ClientServer::take_back() {
    pass_ = {};
    accept();
}
void ClientServer::adopt(Descriptor&& socket, std::string_view unread, bool first) {
    std::optional<SocketBudget::Place> place = budget_.take(SocketBudget::Side::client);
    error_code ec;
    tcp::socket adopted(io_);
    adopted.assign(acceptor_.local_endpoint().protocol(), socket.get(), ec);
    if (!ec) socket.release();  // it is the socket's now
    if (!place || ec) return;
    const auto taken =
        std::make_shared<Connection>(*this, std::move(adopted), std::move(*place), Steady::now());
    Connections& list = first ? newcomers_ : known_;
    taken->self = list.insert(list.end(), taken);
    taken->list = &list;
    taken->go_on_from(unread, first);
}
std::size_t ClientServer::held_up() const { return in_hand_.size(); }

bool ClientServer::quiet() const {
    const auto busy = [](const auto& c) { return c->busy(); };
    return std::none_of(newcomers_.begin(), newcomers_.end(), busy) &&
           std::none_of(known_.begin(), known_.end(), busy);
}

void ClientServer::sweep(Connections& connections) {
    const auto now = std::chrono::steady_clock::now();
    for (auto it = connections.begin(); it != connections.end();) {
        const auto connection = *it++;  // it may end now
        if (!connection->overdue(now)) continue;
        contain(
            "client", [&] { connection->time_out(); },
            [&] { connection->close(ClientCloseReason::internal_error); });
    }
}
void ClientServer::sweep() {
    sweep(newcomers_);
    sweep(known_);
    if (leaving()) close_idle();  // who paused over the beginning
    sweep_timer_.expires_after(sweep_period);
    sweep_timer_.async_wait([this](error_code stopped) {
        if (!stopped) sweep();
    });
}

}  // namespace gateway::server

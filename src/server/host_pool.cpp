#include "host_pool.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <optional>

#include "clock.h"
#include "containment.h"
#include "log.h"
#include "socket_write.h"

namespace gateway::server {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t read_at_once = 4096, read_of_long = 32 * 1024;
constexpr std::chrono::milliseconds connect_pause = 10ms;  // after a connect that failed by the own machine
// Neither side of a long exchange may stand still for longer than this.
constexpr std::chrono::milliseconds stall_most = 10s;
// Words on the way to an answer (1xx) that are heard out; a host that sends more never comes to it.
constexpr int most_words_ahead = 8;
// An idle connection ends this much before its host may end it: a request written in between would be lost.
constexpr std::chrono::milliseconds idle_margin = 1s, sweep_period = 250ms;
}  // namespace

namespace {
// Whether a connect failed by the own machine, for a moment: that says nothing of the host.
bool is_local_failure(error_code ec) {
    constexpr std::array errors{EADDRNOTAVAIL, EAGAIN, EMFILE,   ENFILE,
                                ENOBUFS,       ENOMEM, ENETDOWN, ENETUNREACH};
    return ec.category() == boost::system::system_category() &&
           std::find(errors.begin(), errors.end(), ec.value()) != errors.end();
}

// The field that tells a host how long the gateway will wait; its value is put in place as the request is
// written.
constexpr std::string_view time_left_field = "X-Expires-In-Ms";
}  // namespace

struct HostPool::Host {
    std::string uid;
    tcp::endpoint endpoint;
    bool listed_ready = true, banned = false;
    bool takes_new() const { return listed_ready && !banned; }
    std::vector<std::shared_ptr<Connection>> idle;  // the one used last at the end
};

// A connection to a host, and the one exchange on it. A read is always under way once it is up, so that an
// end is noticed while it is idle, too. It is never used again after a time-out, a cancel or anything
// unforeseen.
class HostPool::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HostPool& pool, std::shared_ptr<Host> host, SocketBudget::Place&& place)
        : pool_(pool),
          host_(std::move(host)),
          endpoint_(host_->endpoint),
          place_(std::move(place)),
          socket_(pool.io_),
          timer_(pool.io_),
          connect_again_(pool.io_),
          unread_(most_body + most_header) {}

    const std::shared_ptr<Host>& host() const { return host_; }
    const tcp::endpoint& endpoint() const { return endpoint_; }
    Steady::time_point idle_since() const { return since_; }
    bool carries(const AttemptKey& key) const {
        return !is_probe_ && key.request == key_.request && key.attempt == key_.attempt;
    }
    bool unwritten() const { return state_ == State::connecting || state_ == State::writing; }
    // Since then or longer without a request. Hosts answer probes beside their work, once each.
    bool rested(Steady::time_point before) const { return is_probe_ || since_ <= before; }
    bool belongs_to(std::uint64_t request) const { return !is_probe_ && request == key_.request; }
    std::string& out() { return out_; }
    // Whether the answer has no body, whatever length it tells.
    void expect_no_body(bool head) { head_ = head; }

    // Sends what stands in `out`, and calls back once.
    void begin(const AttemptKey* key, std::chrono::microseconds within) {
        is_probe_ = key == nullptr;
        if (key != nullptr) key_ = *key;
        since_ = Steady::now();
        deadline_ = since_ + within;
        words_ahead_ = 0;
        begun_ = full_ = false;
        expect_answer();
        if (state_ == State::idle) {
            wait_until(deadline_);
            return write();
        }
        state_ = State::connecting;
        wait_until(std::min(deadline_, since_ + pool_.connect_timeout_));
        connect();
    }
    void cancel() { end(HostOutcome::cancelled); }
    // The last piece has gone: more of the long answer can be taken.
    void read_on() {
        if (!std::exchange(full_, false) || state_ == State::closed) return;
        wait_until(Steady::now() + stall_most);
        read();
    }
    void end_unwritten(HostOutcome outcome) {
        if (unwritten()) end(outcome);
    }

    // Guards against answers that are not the next request's: what came behind the last one, and an end of
    // the connection, may be here though no handler has run yet.
    bool silent() {
        char byte = 0;
        error_code ec;
        socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == asio::error::would_block || ec == asio::error::try_again;
    }

    // Another process has had it, idle for so long.
    bool adopt(Descriptor&& socket, std::chrono::microseconds idle_for) {
        error_code ec;
        socket_.assign(endpoint_.protocol(), socket.get(), ec);
        if (ec) return false;
        socket.release();
        socket_.non_blocking(true, ec);
        state_ = State::idle;
        since_ = Steady::now() - idle_for;
        read();
        return true;
    }
    Descriptor release() {
        state_ = State::closed;
        pool_.note_closed(HostCloseReason::handed_over, host_->uid);
        timer_.cancel();
        error_code ec;
        Descriptor socket(socket_.release(ec));
        place_.give_back();
        return socket;
    }

    void close(HostCloseReason cause) {
        state_ = State::closed;
        pool_.note_closed(cause, host_->uid);
        timer_.cancel();
        connect_again_.cancel();
        error_code ec;
        socket_.close(ec);
        place_.give_back();
    }

  private:
    using Parser = http::response_parser<PieceBody>;
    enum class State { fresh, connecting, writing, waiting, idle, closed };

    void connect() {
        locally_failed_ = false;
        error_code ec;
        socket_.open(endpoint_.protocol(), ec);
        if (ec) return on_connect_failed(ec);
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        socket_.async_connect(endpoint_, [self = shared_from_this()](error_code failed) {
            if (self->state_ != State::connecting) return;
            if (failed) return self->on_connect_failed(failed);
            self->wait_until(self->deadline_);
            self->read();
            self->write();
        });
    }
    // A failure of the own machine is waited out, as long as a connect may take.
    void on_connect_failed(error_code why) {
        if (!is_local_failure(why)) return end(HostOutcome::connect_failed);
        LogLine(LogLevel::debug, "connect_failed_locally")
            .with("host", host_->uid)
            .with("error", why.message());
        locally_failed_ = true;
        error_code ec;
        socket_.close(ec);
        connect_again_.expires_after(connect_pause);
        connect_again_.async_wait([self = shared_from_this()](error_code stopped) {
            if (!stopped && self->state_ == State::connecting) self->connect();
        });
    }

    void wait_until(Steady::time_point when) {
        timer_.expires_at(when);
        if (when == Steady::time_point::max()) return;
        timer_.async_wait([self = shared_from_this()](error_code stopped) {
            // A wait that was moved while its end was on the way here is not over.
            if (!stopped && self->timer_.expiry() <= Steady::now()) self->time_out();
        });
    }
    void time_out() {
        if (state_ == State::connecting)
            end(locally_failed_ ? HostOutcome::not_started : HostOutcome::connect_failed);
        else if (state_ == State::writing || state_ == State::waiting) end(HostOutcome::timeout);
    }

    void write(std::size_t sent = 0) {
        state_ = State::writing;
        if (sent == 0) tell_time_left();
        error_code ec;
        sent += write_available(socket_, std::string_view(out_).substr(sent), ec);
        if (ec) return end(HostOutcome::connect_failed);
        if (sent == out_.size()) {
            state_ = State::waiting;
            return;
        }
        // Waits first and writes then: with the last byte the request may run, and whatever ends the attempt
        // from that moment on must find it so.
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), sent](error_code failed) {
            if (self->state_ != State::writing) return;
            if (failed) return self->end(HostOutcome::connect_failed);
            self->write(sent);
        });
    }

    // The time that is left now: the connection may have come up long after the attempt began.
    void tell_time_left() {
        const std::string field = std::string("\r\n").append(time_left_field).append(": ");
        const std::size_t name_at = std::string_view(out_).substr(0, out_.find("\r\n\r\n")).find(field);
        if (is_probe_ || name_at == std::string::npos) return;
        const std::size_t at = name_at + field.size();
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline_ - Steady::now()).count();
        out_.replace(at, out_.find("\r\n", at) - at, std::to_string(std::max<std::int64_t>(1, left)));
    }

    void expect_answer() {
        parser_.emplace();
        parser_->eager(false);  // the header is looked at before room for a body is set aside
        parser_->header_limit(most_header);
        parser_->body_limit(most_long_body);
        parser_->skip(head_);
    }
    // Waits first and reads then: a read that is done but not yet heard of would hide bytes from silent().
    void read() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            if (self->state_ == State::closed) return;
            contain(
                "host", [&] { self->take_in(ec); }, [&] { self->abandon(); });
        });
    }
    void take_in(error_code ec) {
        std::size_t n = 0;
        if (!ec) n = socket_.read_some(unread_.prepare(begun_ ? read_of_long : read_at_once), ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) return read();
        if (state_ == State::idle) return drop_idle();  // an end, or bytes that nobody asked for
        if (ec == asio::error::eof && state_ == State::waiting && ends_with_connection()) return finish();
        if (ec) return end(state_ == State::waiting ? HostOutcome::reset : HostOutcome::connect_failed);
        unread_.commit(n);
        const auto self = shared_from_this();
        // What can't be read is an answer all the same: the host is there and may have run the request.
        // Guards against hosts passed over as if they were down for a spoilt answer here and there.
        if (!parse() || !has_room()) return end(unwritten() ? HostOutcome::reset : HostOutcome::error);
        if (state_ == State::closed || (parser_ && !pass_on())) return;
        read();
    }
    // Whether a further read has a place. Without one the parser waits for the end of a line that has none:
    // no header limit holds for lines inside a chunked body.
    bool has_room() const { return unread_.size() + read_of_long <= unread_.max_size(); }
    void abandon() {
        if (state_ == State::idle) return drop_idle();
        if (state_ != State::closed) end(unwritten() ? HostOutcome::connect_failed : HostOutcome::error);
    }
    // An answer that tells no length ends with its connection.
    bool ends_with_connection() {
        if (!parser_ || !parser_->is_header_done() || !parser_->need_eof()) return false;
        error_code ec;
        parser_->put_eof(ec);
        return !ec;
    }
    // A served answer too long to be held goes on as it comes. False: nothing more is to be read now.
    bool pass_on() {
        if (state_ != State::waiting || !parser_->is_header_done() || !pool_.callbacks_.on_begun) return true;
        std::string& body = parser_->get().body();
        const auto length = parser_->content_length();
        if (!begun_) {
            if (parser_->get().result() != http::status::ok ||
                (body.size() <= most_body && (!length || *length <= most_body)))
                return true;
            begun_ = true;
            HostResult result;
            result.outcome = HostOutcome::success;
            result.elapsed = took_ =
                std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - since_);
            result.answer.base() = parser_->get().base();
            result.answer.body() = std::exchange(body, {});
            full_ = true;
            wait_until(Steady::time_point::max());  // it waits for the client now, whose own time runs
            const auto self = shared_from_this();
            if (!pool_.callbacks_.on_begun(key_, host_->uid, std::move(result))) return cancel(), false;
            return false;
        }
        if (body.empty()) {
            wait_until(Steady::now() + stall_most);
            return true;
        }
        full_ = true;
        wait_until(Steady::time_point::max());
        pool_.callbacks_.on_piece(key_, std::exchange(body, {}));
        return false;
    }
    // False for bytes that no sound answer begins with.
    bool parse() {
        while (unread_.size() > 0) {
            error_code ec;
            const bool in_header = !parser_->is_header_done();
            const std::size_t used = parser_->put(unread_.data(), ec);
            unread_.consume(used);
            if (ec == http::error::need_more) return true;
            if (ec) return false;
            const bool ahead = parser_->is_header_done() && parser_->get().result_int() / 100 == 1;
            // With an unclear length nothing tells whether a body came whole and what behind it is another's.
            if (in_header && parser_->is_header_done() && !ahead &&
                (!fits(*parser_) || !frames_clearly(parser_->get().base())))
                return false;
            parser_->eager(parser_->is_header_done());
            if (parser_->is_done()) {
                if (!ahead) return finish(), true;
                // After 101 another protocol would follow, which nobody asked for.
                if (parser_->get().result() == http::status::switching_protocols ||
                    ++words_ahead_ > most_words_ahead)
                    return false;
                expect_answer();
                continue;
            }
            if (used == 0) return true;
        }
        return true;
    }

    void finish() {
        HostResult result;
        auto message = parser_->release();
        const bool known_end = !message.need_eof();
        result.answer.base() = std::move(message.base());
        result.answer.body() = std::move(message.body());
        const auto& answer = result.answer;
        const auto load = answer["Endpoint-Load-Metrics"];
        result.load_report.assign(load.data(), load.size());
        const unsigned status = answer.result_int();
        const bool not_executed = (status == 503 || status == 504) && answer["X-Never-Ran"] == "1";
        result.outcome = status == 200  ? HostOutcome::success
                         : not_executed ? HostOutcome::rejected
                                        : HostOutcome::error;
        const bool again = known_end && state_ == State::waiting && answer.keep_alive() &&
                           unread_.size() == 0 && silent() && host_->takes_new() &&
                           host_->endpoint == endpoint_;
        report(std::move(result), again);
    }
    void end(HostOutcome outcome) {
        HostResult result;
        result.outcome = outcome;
        report(std::move(result), false);
    }
    void report(HostResult&& result, bool again) {
        const auto self = shared_from_this();
        pool_.busy_.erase(self);
        const auto now = Steady::now();
        result.elapsed = begun_ ? took_ : std::chrono::duration_cast<std::chrono::microseconds>(now - since_);
        parser_.reset();
        if (again) {
            state_ = State::idle;
            since_ = now;
            timer_.cancel();
            // What a large exchange needed is given back while nothing needs it.
            if (unread_.capacity() > read_at_once) unread_.shrink_to_fit();
            if (out_.capacity() > read_at_once) std::string().swap(out_);
            host_->idle.push_back(self);
            pool_.resting_.insert(host_);
        } else {
            const bool answered = result.outcome == HostOutcome::success ||
                                  result.outcome == HostOutcome::rejected ||
                                  result.outcome == HostOutcome::error;
            close(answered ? HostCloseReason::not_reusable : HostCloseReason::exchange_failed);
        }
        if (is_probe_) pool_.callbacks_.on_probe(host_->uid, std::move(result));
        else pool_.callbacks_.on_attempt(key_, host_->uid, std::move(result));
    }
    void drop_idle() {
        auto& idle = host_->idle;
        const auto self = shared_from_this();
        idle.erase(std::find(idle.begin(), idle.end(), self));
        close(HostCloseReason::closed_by_host);
    }

    HostPool& pool_;
    std::shared_ptr<Host> host_;
    tcp::endpoint endpoint_;
    SocketBudget::Place place_;
    tcp::socket socket_;
    asio::steady_timer timer_, connect_again_;
    boost::beast::flat_buffer unread_;
    std::optional<Parser> parser_;
    std::string out_;
    AttemptKey key_;
    bool is_probe_ = false, head_ = false;
    bool locally_failed_ = false;        // the latest connect
    bool begun_ = false, full_ = false;  // a long answer goes on; a piece of it waits to be taken
    std::chrono::microseconds took_{0};  // until it began
    int words_ahead_ = 0;
    Steady::time_point since_, deadline_;  // the exchange began, or idleness
    State state_ = State::fresh;
};

HostPool::HostPool(asio::io_context& io, SocketBudget& budget, std::chrono::microseconds connect_timeout,
                   std::chrono::microseconds idle_limit, Callbacks callbacks, std::chrono::microseconds rest)
    : io_(io),
      budget_(budget),
      connect_timeout_(connect_timeout),
      idle_most_(std::max<std::chrono::microseconds>(idle_limit - idle_margin, idle_limit / 2)),
      rest_(rest),
      callbacks_(std::move(callbacks)),
      sweep_timer_(io) {
    budget_.on_shortage(SocketBudget::Side::host, [this] { return close_one_idle(); });
    sweep();
}
HostPool::~HostPool() {
    budget_.on_shortage(SocketBudget::Side::host, {});
    callbacks_.on_closed = {};
    for (const auto& connection : busy_) connection->close(HostCloseReason::shutdown);
    for (const auto& [uid, host] : hosts_) {
        for (const auto& connection : host->idle) connection->close(HostCloseReason::shutdown);
        host->idle.clear();  // a connection holds its host, so neither would end while the host holds it
    }
}

void HostPool::note_closed(HostCloseReason cause, const std::string& uid) {
    LogLine(LogLevel::debug, "host_connection_closed").with("cause", to_string(cause)).with("host", uid);
    if (callbacks_.on_closed) callbacks_.on_closed(cause);
}

void HostPool::update(const EndpointList& list) {
    if (list.whole)
        for (const auto& [uid, host] : hosts_) host->listed_ready = false;
    for (const Endpoint& t : list.endpoints) {
        auto& host = hosts_[t.uid];
        if (!host) host = std::make_shared<Host>();
        host->uid = t.uid;
        host->listed_ready = t.state == EndpointState::ready;
        host->banned = banned_.count(t.uid) > 0;
        if (t.state != EndpointState::gone) host->endpoint = t.address;
    }
    cut_unsent();
    const auto leaves = [](const auto& host) { return !host.second->listed_ready; };
    if (list.whole) {
        std::erase_if(hosts_, leaves);
        return;
    }
    for (const Endpoint& t : list.endpoints)
        if (const auto host = hosts_.find(t.uid); host != hosts_.end() && leaves(*host)) hosts_.erase(host);
}

void HostPool::ban(const std::string& uid, bool banned) {
    if (banned) banned_.insert(uid);
    else banned_.erase(uid);
    const auto found = hosts_.find(uid);
    if (found == hosts_.end()) return;
    found->second->banned = banned;
    if (banned) cut_unsent();
}

// Guards against a send to a host after word that it drains: a connect under way would write its request
// whenever it comes up.
void HostPool::cut_unsent() {
    for (const auto& host : resting_) close_idle_of(*host);
    end_unwritten(HostOutcome::connect_failed, [](const Connection& c) { return !c.host()->takes_new(); });
}
// Those that can't be used again, as the host takes nothing new or has moved.
void HostPool::close_idle_of(Host& host) {
    std::erase_if(host.idle, [&host](const auto& connection) {
        const bool stays = host.takes_new() && connection->endpoint() == host.endpoint;
        if (!stays) connection->close(HostCloseReason::host_draining);
        return !stays;
    });
}
void HostPool::withdraw(std::uint64_t request) {
    end_unwritten(HostOutcome::withdrawn, [request](const Connection& c) { return c.belongs_to(request); });
}
// What one end brings about may end others of them.
template <class Which>
void HostPool::end_unwritten(HostOutcome outcome, Which which) {
    std::vector<std::shared_ptr<Connection>> unsent;
    for (const auto& connection : busy_)
        if (connection->unwritten() && which(*connection)) unsent.push_back(connection);
    for (const auto& connection : unsent) connection->end_unwritten(outcome);
}

// The rested connection used last, else a new one; nothing where the host takes nothing new or no socket is
// left. Guards against a second answer that comes some milliseconds behind the first: written to at once, the
// connection would bring it as the next request's. Harms by a connection or two more at a busy host.
std::shared_ptr<HostPool::Connection> HostPool::connection_to(const std::string& uid, HostOutcome& why_none) {
    why_none = HostOutcome::connect_failed;
    const auto found = hosts_.find(uid);
    if (found == hosts_.end() || !found->second->takes_new()) return nullptr;
    why_none = HostOutcome::not_started;
    auto& idle = found->second->idle;
    std::shared_ptr<Connection> connection;
    const auto before = Steady::now() - rest_;
    for (auto at = idle.size(); !connection && at-- > 0;) {
        if (!idle[at]->rested(before)) continue;
        const auto last = std::move(idle[at]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (last->silent()) connection = last;
        else last->close(HostCloseReason::closed_by_host);
    }
    if (!connection) {
        auto place = budget_.take(SocketBudget::Side::host);
        if (!place) return nullptr;
        connection = std::make_shared<Connection>(*this, found->second, std::move(*place));
    }
    busy_.insert(connection);
    return connection;
}

void HostPool::attempt(const AttemptKey& key, const std::string& uid, Request& message,
                       std::chrono::microseconds within) {
    HostResult unsent;
    const auto connection = connection_to(uid, unsent.outcome);
    if (!connection) return callbacks_.on_attempt(key, uid, std::move(unsent));
    message.set(boost::beast::string_view(time_left_field.data(), time_left_field.size()), "0");
    connection->expect_no_body(message.method() == http::verb::head);
    serialize(message, connection->out());
    connection->begin(&key, within);
}

void HostPool::probe(const std::string& uid) {
    HostResult unsent;
    const auto connection = connection_to(uid, unsent.outcome);
    if (!connection) return callbacks_.on_probe(uid, std::move(unsent));
    connection->expect_no_body(false);
    connection->out() = "GET /_load HTTP/1.1\r\nHost: " + uid + "\r\n\r\n";
    connection->begin(nullptr, connect_timeout_);
}

std::shared_ptr<HostPool::Connection> HostPool::carrier_of(const AttemptKey& key) const {
    const auto it = std::find_if(busy_.begin(), busy_.end(), [&](const auto& c) { return c->carries(key); });
    return it == busy_.end() ? nullptr : *it;
}
void HostPool::cancel(const AttemptKey& key) {
    if (const auto connection = carrier_of(key)) connection->cancel();
}
void HostPool::read_on(const AttemptKey& key) {
    if (const auto connection = carrier_of(key)) connection->read_on();
}

void HostPool::hand_over(const Pass& pass) {
    const auto now = Steady::now();
    for (const auto& host : resting_)
        for (const auto& connection : std::exchange(host->idle, {}))
            if (connection->silent())
                pass(connection->release(), host->uid,
                     std::chrono::duration_cast<std::chrono::microseconds>(now - connection->idle_since()));
            else connection->close(HostCloseReason::closed_by_host);
}
void HostPool::adopt(Descriptor&& socket, const std::string& uid, std::chrono::microseconds idle_for) {
    const auto found = hosts_.find(uid);
    if (found == hosts_.end() || !found->second->takes_new()) return;
    auto place = budget_.take(SocketBudget::Side::host);
    if (!place) return;
    const auto connection = std::make_shared<Connection>(*this, found->second, std::move(*place));
    if (!connection->adopt(std::move(socket), idle_for)) return;
    // The one used last at the end.
    resting_.insert(found->second);
    auto& idle = found->second->idle;
    idle.insert(std::find_if(idle.begin(), idle.end(),
                             [&](const auto& c) { return c->idle_since() > connection->idle_since(); }),
                connection);
}

bool HostPool::close_one_idle() {
    Host* oldest = nullptr;
    for (const auto& host : resting_)
        if (!host->idle.empty() &&
            (oldest == nullptr || host->idle.front()->idle_since() < oldest->idle.front()->idle_since()))
            oldest = host.get();
    if (oldest == nullptr) return false;
    const auto connection = std::move(oldest->idle.front());
    oldest->idle.erase(oldest->idle.begin());
    connection->close(HostCloseReason::evicted);
    return true;
}

void HostPool::sweep() {
    const auto too_old = std::chrono::steady_clock::now() - idle_most_;
    std::erase_if(resting_, [](const auto& host) { return host->idle.empty(); });
    for (const auto& host : resting_) {
        auto& idle = host->idle;
        const auto fresh =
            std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c->idle_since() > too_old; });
        std::for_each(idle.begin(), fresh, [](const auto& c) { c->close(HostCloseReason::idle_timeout); });
        idle.erase(idle.begin(), fresh);
    }
    sweep_timer_.expires_after(sweep_period);
    sweep_timer_.async_wait([this](error_code stopped) {
        if (!stopped) sweep();
    });
}

}  // namespace gateway::server

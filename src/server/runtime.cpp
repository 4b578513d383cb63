#include "runtime.h"

#include <fcntl.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <thread>

#include "log.h"

namespace gateway::server {

using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// Without a first word from discovery the known list serves after this.
constexpr auto first_word = 500ms;
// New connections come for 0.4 s after SIGTERM; the listener stays open beyond that.
constexpr auto accept_after_term = 700ms, look_again = 20ms;
// SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s where it is longer. Whatever is in hand
// by then has its answer well before.
constexpr Micros longest_wait = 3s, before_kill = 150ms;
// No host holds so many requests: a report beyond it, or one below 0, is a slip that would move the choice of
// hosts for as long as it is believed.
constexpr double most_reported = 1e5;
constexpr std::size_t mega = 1024 * 1024;
// Of the memory limit, for clients' bodies: one stands in its request and for a while in the text for its
// host.
constexpr std::size_t bodies_part = 8;

// A start waits so long for descriptors and buffers: it is to be ready within 10 s.
constexpr std::chrono::milliseconds shortage_most = 5s, shortage_pause = 20ms;
constexpr std::size_t state_piece = 32 * 1024;
// What the former process of an upgrade may open still, for further attempts.
constexpr std::size_t sockets_for_the_rest = 16;

// The same for each process of one gateway, and for no other's.
std::string handover_name(const Config& config) {
    const std::string who =
        config.name + ' ' + config.listen.address().to_string() + ' ' + std::to_string(config.listen.port());
    char text[24];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(std::hash<std::string>{}(who)));
    return text;
}

decision::Outcome outcome_of(HostOutcome outcome) {
    switch (outcome) {
        case HostOutcome::success:
            return decision::Outcome::success;
        case HostOutcome::error:
            return decision::Outcome::error;
        case HostOutcome::rejected:
            return decision::Outcome::rejected;
        case HostOutcome::connect_failed:
            return decision::Outcome::connect_failed;
        case HostOutcome::reset:
            return decision::Outcome::reset;
        case HostOutcome::timeout:
            return decision::Outcome::timeout;
        case HostOutcome::cancelled:
            return decision::Outcome::cancelled;
        case HostOutcome::withdrawn:
        case HostOutcome::not_started:
            return decision::Outcome::not_sent;
    }
    return decision::Outcome::error;
}

decision::HostState state_of(EndpointState state) {
    return state == EndpointState::ready      ? decision::HostState::up
           : state == EndpointState::draining ? decision::HostState::draining
                                              : decision::HostState::gone;
}

const char* to_string(EndpointState state) {
    return state == EndpointState::ready ? "ready" : state == EndpointState::draining ? "draining" : "gone";
}
void log_list(const EndpointList& list) {
    LogLine(LogLevel::info, "hosts_listed")
        .with("revision", list.version)
        .with("whole", list.whole ? "yes" : "no")
        .with("hosts", static_cast<std::int64_t>(list.endpoints.size()));
    if (!logs(LogLevel::debug)) return;
    for (const Endpoint& endpoint : list.endpoints)
        LogLine(LogLevel::debug, "host_listed")
            .with("host", endpoint.uid)
            .with("state", to_string(endpoint.state))
            .with("boot_ms", endpoint.boot_ms);
}

// Whether a socket could not be made for want of something that may be there again in a moment.
bool is_passing_shortage(const error_code& ec) {
    return ec == boost::asio::error::no_descriptors || ec == boost::asio::error::no_buffer_space ||
           ec == boost::asio::error::no_memory || ec == error_code(ENFILE, boost::system::system_category());
}
// Runs `make`, again and again through a passing shortage; a failure to bind names the key whose address it
// was. It holds the loop meanwhile: nothing is served before the listeners are there.
template <class Make>
auto bound(const char* key, Make make) {
    for (const auto give_up = Steady::now() + shortage_most;; std::this_thread::sleep_for(shortage_pause)) {
        try {
            return make();
        } catch (const boost::system::system_error& error) {
            if (is_passing_shortage(error.code()) && Steady::now() < give_up) continue;
            throw ConfigError(std::string("config: ") + key +
                              ": expected an address that can be bound, got '" + error.code().message() +
                              "'");
        }
    }
}
}  // namespace

decision::LoadReport read_load_report(std::string_view text) {
    decision::LoadReport report;
    while (!text.empty()) {
        std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos) continue;
        std::string_view name = part.substr(0, equals);
        if (const std::size_t space = name.find_last_of(" \t\r\n"); space != std::string_view::npos)
            name.remove_prefix(space + 1);
        double value = 0;
        const std::string_view number = part.substr(equals + 1);
        const auto read = std::from_chars(number.data(), number.data() + number.size(), value);
        if (read.ec != std::errc() || !(value >= 0 && value <= most_reported)) continue;
        // The settings' names, as on the simulator's wire, and those of the protocol's example. Guards
        // against reports that come and go unread: a host whose queue is not told passes for idle.
        if (name == "backlog" || name == "queue") report.queued = value;
        else if (name == "outstanding" || name == "inflight") report.outstanding = value;
        else if (name == "utilization" || name == "util") report.utilization = value;
    }
    return report;
}

Runtime::Runtime(boost::asio::io_context& io, SocketBudget& budget, const Config& config)
    : io_(io),
      budget_(budget),
      sockets_(budget.most()),
      config_(config),
      settings_(config.settings),
      gateway_(config.settings, config.seed, clock_.now()),
      guard_(config.settings),
      check_(config.settings),
      timer_(io),
      told_timer_(io),
      drain_timer_(io) {
    pool_ =
        std::make_unique<HostPool>(io, budget, config.connect_timeout, config.idle_limit, pool_callbacks());
    EndpointList known = config.known;
    known.whole = true;
    on_list(known);
    if (config.admin_listen)
        admin_server_ = bound("mgmt", [&] {
            return std::make_unique<AdminServer>(
                io, *config.admin_listen, [this](const AdminCall& call) { return on_call(call); },
                [this] { return metrics(); });
        });
    told_timer_.expires_after(first_word);
    told_timer_.async_wait([this](error_code stopped) {
        if (!stopped) first_told();
    });
    const auto on_told = [this](const EndpointList& list) {
        on_list(list);
        first_told();
    };
    // Where lists are asked for, the watch begins from the known list: a call for the whole list starts none,
    // and discovery serves half as many gateways that begin with two calls each.
    std::optional<std::int64_t> known_version;
    if (!config.lists_pushed && !known.endpoints.empty()) known_version = known.version;
    discovery_ = std::make_unique<Discovery>(
        io, config.discovery, on_told,
        Discovery::pace_among(settings_.instances, config.lists_pushed, config.ask_within), config.seed,
        known_version);
    upgrade_ = std::make_unique<Upgrade>(
        io, HandoverPlace(io, config.handover_folder, handover_name(config)),
        Upgrade::Callbacks{[this](Upgrade::Left&& left) { serve(std::move(left)); }, [this] { serve({}); },
                           [this](HandoverMessage&& connection) { adopt(std::move(connection)); },
                           [this] { budget_.set_most(sockets_); },
                           [this](HandoverChannel& next) { leave(next); }, [this] { take_back(); },
                           [this](HandoverMessage&& fact) { told(fact); }});
    if (!upgrade_->begin()) serve({});
}

HostPool::Callbacks Runtime::pool_callbacks() {
    HostPool::Callbacks callbacks;
    callbacks.on_attempt = [this](const auto& key, const auto& uid, auto&& result) {
        on_attempt(key, uid, std::move(result));
    };
    callbacks.on_probe = [this](const auto& uid, auto&& result) { on_probe(uid, std::move(result)); };
    callbacks.on_begun = [this](const auto& key, const auto& uid, auto&& result) {
        return on_begun(key, uid, std::move(result));
    };
    callbacks.on_piece = [this](const auto& key, std::string&& piece) {
        clients_->go_on(key.request, std::move(piece));
    };
    callbacks.on_closed = [this](HostCloseReason cause) { metrics_.host_closed(cause); };
    return callbacks;
}
ClientServer::Callbacks Runtime::client_callbacks() {
    ClientServer::Callbacks callbacks;
    callbacks.on_request = [this](ClientRequest&& request) { on_request(std::move(request)); };
    callbacks.on_left = [this](std::uint64_t id) { on_left(id); };
    callbacks.ready = [this] { return ready(); };
    callbacks.on_taken = [this](std::uint64_t id) {
        if (const auto it = live_.find(id); it != live_.end()) pool_->read_on({id, it->second.passing_on});
    };
    callbacks.on_closed = [this](ClientCloseReason cause, std::uint64_t request) {
        on_client_closed(cause, request);
    };
    return callbacks;
}

// ---- upgrades ----

void Runtime::serve(Upgrade::Left&& left) {
    if (left.sockets_kept > 0) budget_.set_most(sockets_ - std::min(left.sockets_kept, sockets_ / 2));
    for (const HandoverMessage& fact : left.facts) told(fact);
    if (!left.state.empty()) feed(decision::RestoreSnapshot{std::move(left.state)});
    const auto on_message = [this](int from, std::string_view bytes) {
        feed(decision::MessageArrived{from, std::string(bytes)});
    };
    if (config_.peer_listen && settings_.may_message_peers)
        peers_ = bound("peer_listen", [&] {
            if (left.peers)
                return std::make_unique<PeerLink>(io_, *config_.peer_listen, left.peers.release(),
                                                  config_.peers, config_.peers_all, settings_.rank,
                                                  on_message);
            return std::make_unique<PeerLink>(io_, *config_.peer_listen, config_.peers, config_.peers_all,
                                              settings_.rank, on_message);
        });
    clients_ = bound("listen", [&] {
        return std::make_unique<ClientServer>(io_, config_.listen, budget_,
                                              config_.memory_mb * mega / bodies_part, client_callbacks(),
                                              std::move(left.listener));
    });
    clients_->stand_by(standby_);
    if (told_) clients_->open();
}
// What the agent has counts as told from the first moment on, so no request is heard before it: by a known
// list that is out of date it would go to a host that has left meanwhile.
void Runtime::first_told() {
    told_ = true;
    if (clients_) clients_->open();
    if (upgrade_ && upgrade_->waiting()) upgrade_->ready();
}

// All at once: in between nothing is heard, so that no request is decided on by both processes.
void Runtime::leave(HandoverChannel& next) {
    using Kind = HandoverMessage::Kind;
    feed(decision::HandedOver{true});
    next.send(Kind::listener, {}, clients_->share_listener());
    if (peers_) {
        peers_->listen(false);
        next.send(Kind::peers, {}, Descriptor(::fcntl(peers_->native_handle(), F_DUPFD_CLOEXEC, 0)));
    }
    for (std::size_t at = 0; at < left_state_.size(); at += state_piece)
        next.send(Kind::state, left_state_.substr(at, state_piece));
    for (const std::string& uid : known_names_.all()) next.send(Kind::named, uid);
    for (const std::string& uid : pool_->banned()) next.send(Kind::ban, uid);
    if (standby_) next.send(Kind::stand_by);
    const std::size_t kept = clients_->held_up() + pool_->busy() + sockets_for_the_rest;
    next.send(Kind::done, std::to_string(kept));
    const auto channel = next.shared_from_this();
    clients_->hand_over([channel](Descriptor&& socket, std::string&& unread, bool first) {
        channel->send(Kind::client, (first ? '1' : '0') + std::move(unread), std::move(socket));
    });
    pool_->hand_over([&next](Descriptor&& socket, const std::string& uid, Micros idle_for) {
        next.send(Kind::host, std::to_string(idle_for.count()) + ' ' + uid, std::move(socket));
    });
    budget_.set_most(kept);
    std::string().swap(left_state_);
}
void Runtime::carry_out(decision::SaveSnapshot& action) { left_state_ = std::move(action.bytes); }
// Also while this process is draining: nobody else serves what comes meanwhile.
void Runtime::take_back() {
    budget_.set_most(sockets_);
    feed(decision::HandedOver{false});
    if (peers_) peers_->listen(true);
    clients_->take_back();
}
void Runtime::adopt(HandoverMessage&& connection) {
    if (connection.kind == HandoverMessage::Kind::client) {
        const std::string_view text = connection.text;
        return clients_->adopt(std::move(connection.descriptor),
                               text.substr(std::min<std::size_t>(1, text.size())), text.substr(0, 1) == "1");
    }
    const std::size_t space = connection.text.find(' ');
    if (space == std::string::npos) return;
    pool_->adopt(std::move(connection.descriptor), connection.text.substr(space + 1),
                 Micros(std::strtoll(connection.text.c_str(), nullptr, 10)));
}
void Runtime::told(const HandoverMessage& fact) {
    switch (fact.kind) {
        case HandoverMessage::Kind::ban:
        case HandoverMessage::Kind::put_back:
            return ban(fact.text, fact.kind == HandoverMessage::Kind::ban);
        case HandoverMessage::Kind::stand_by:
        case HandoverMessage::Kind::activate:
            return stand_by(fact.kind == HandoverMessage::Kind::stand_by);
        default:
            known_names_.listed(fact.text);
    }
}

// ---- events in, actions out ----

// The module is never called from within its own actions: what they bring about at once waits its turn.
void Runtime::feed(decision::Event&& event) {
    events_.push_back(std::move(event));
    if (!handling_) handle_all();
}
template <class Consequence>
void Runtime::feed_before(decision::Event&& event, Consequence consequence) {
    events_.push_back(std::move(event));
    const bool within = std::exchange(handling_, true);
    consequence();
    handling_ = within;
    if (!handling_) handle_all();
}
void Runtime::handle_all() {
    handling_ = true;
    while (!events_.empty()) {
        const decision::Event event = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        gateway_.handle(clock_.now(), event, actions_);
        for (decision::Action& action : actions_) std::visit([this](auto& a) { carry_out(a); }, action);
    }
    handling_ = false;
    arm();
}

void Runtime::carry_out(decision::SendAttempt& action) {
    const auto it = live_.find(action.id);
    if (it == live_.end()) return;
    Live& live = it->second;
    const int attempt = live.attempts++;
    const Micros now = clock_.now(), left = live.deadline - now;
    const decision::SendVerdict verdict = guard_.begin_attempt(action.id, attempt, action.host, now);
    LogLine(verdict == decision::SendVerdict::allowed ? LogLevel::debug : LogLevel::warning, "attempt")
        .with("request", action.id)
        .with("trace", live.trace)
        .with("attempt", attempt)
        .with("cause", to_string(action.reason))
        .with("host", action.host)
        .with("left", left)
        .with("verdict", to_string(verdict));
    if (verdict != decision::SendVerdict::allowed) return end_unsent(action, attempt, live.answered);
    metrics_.attempt_begun(action.reason);
    ++live.out;
    pool_->attempt({action.id, attempt}, action.host, live.message,
                   action.timeout > 0us ? std::min(action.timeout, left) : left);
}
void Runtime::end_unsent(const decision::SendAttempt& action, int attempt, bool answered) {
    feed(decision::AttemptEnded{
        action.id, attempt, action.host, decision::Outcome::not_sent, 0us, answered, 0, {}});
}
void Runtime::carry_out(decision::RejectRequest& action) {
    const auto it = live_.find(action.id);
    if (it == live_.end() || it->second.answered) return;
    if (!guard_.may_refuse(action.id)) {
        LogLine(LogLevel::error, "refusal_held_back")
            .with("request", action.id)
            .with("trace", it->second.trace);
        decision::FailRequest fail{action.id, action.reason};
        return carry_out(fail);
    }
    LogLine(LogLevel::debug, "refused")
        .with("request", action.id)
        .with("trace", it->second.trace)
        .with("cause", to_string(action.reason))
        .with("retry_after", action.retry_after);
    metrics_.refused(action.reason);
    Answer answer = make_answer(it->second.attempts == 0 ? http::status::too_many_requests
                                                         : http::status::service_unavailable);
    if (action.retry_after > 0us) {
        char text[32];
        const double seconds = std::ceil(static_cast<double>(action.retry_after.count()) / 1e3) / 1e3;
        std::snprintf(text, sizeof text, "%.3f", seconds);
        answer.set(http::field::retry_after, text);
    }
    finish(it, std::move(answer));
}
void Runtime::carry_out(decision::FailRequest& action) {
    const auto it = live_.find(action.id);
    if (it == live_.end() || it->second.answered) return;
    LogLine(LogLevel::debug, "failed")
        .with("request", action.id)
        .with("trace", it->second.trace)
        .with("cause", to_string(action.reason));
    metrics_.failed(action.reason);
    finish(it, make_answer(http::status::gateway_timeout));
}
void Runtime::carry_out(decision::CancelAttempt& action) {
    LogLine(LogLevel::debug, "attempt_cancelled").with("request", action.id).with("attempt", action.attempt);
    pool_->cancel({action.id, action.attempt});
}
void Runtime::carry_out(decision::CheckHealth& action) { pool_->probe(action.host); }
void Runtime::carry_out(decision::SetTimer& action) {
    // On the grid of the tick, as in the simulator: timers that fall close together cost one wake-up.
    const Micros tick = std::max(settings_.tick, 1us), when = clock_.now() + std::max(action.from_now, 1us);
    waits_.push({(when / tick + 1) * tick, action.token, false});
}
void Runtime::carry_out(decision::SendMessage& action) {
    if (peers_) peers_->send(action.to, action.bytes);
}

void Runtime::finish(LiveAt live, Answer&& answer) {
    const std::uint64_t id = live->first;
    if (live->second.answered) return;
    const Micros now = clock_.now();
    LogLine(LogLevel::debug, "answered")
        .with("request", id)
        .with("trace", live->second.trace)
        .with("status", static_cast<int>(answer.result_int()))
        .with("left", live->second.deadline - now);
    metrics_.answered(answer.result_int());
    guard_.answered(id, now);
    close(live);
    clients_->answer(id, std::move(answer));
}
// It has its final answer, or needs none. With attempts out only its id is kept, which must not come again
// while it may still be heard of at a host. Guards against a connection that comes up late and would carry
// the request to a host after its end.
void Runtime::close(LiveAt live) {
    const std::uint64_t id = live->first;
    live->second.answered = true;
    live->second.message = {};
    live->second.room.give_back();
    if (live->second.out > 0) pool_->withdraw(id);
    drop_if_over(id);
}
void Runtime::drop_if_over(std::uint64_t id) {
    const auto live = live_.find(id);
    if (live == live_.end() || !live->second.answered || live->second.out > 0) return;
    open_ids_.erase(live->second.trace);
    guard_.forget(id);
    live_.erase(live);
}

// ---- clients ----

void Runtime::on_request(ClientRequest&& request) {
    RequestFacts facts;
    Complaint complaint = check_.read(request.message, facts);
    // A host would see a second copy of a request that is still out, and its answer could reach the wrong
    // one.
    if (!complaint && open_ids_.count(facts.id) > 0)
        complaint = {http::status::conflict, "X-Trace-Id: expected one that is not open"};
    metrics_.request_received();
    if (complaint) {
        metrics_.request_rejected();
        LogLine(LogLevel::debug, "request_rejected")
            .with("request", request.id)
            .with("cause", complaint.text);
        return clients_->reject(request.id, make_answer(complaint.status, complaint.text + '\n'));
    }
    decision::RequestArrived event;
    event.id = request.id;
    event.customer = std::move(facts.customer);
    event.plan = facts.plan;
    event.request_class = facts.request_class;
    event.units = facts.units;
    const Micros deadline = clock_.at(request.arrived) + facts.time_left;
    event.time_left = deadline - clock_.now();
    event.set_size = facts.set_size;
    event.set_start = facts.set_start;
    Live& live = live_.try_emplace(request.id).first->second;
    live.message = std::move(request.message);
    live.room = std::move(request.room);
    live.trace = std::move(facts.id);
    open_ids_.insert(live.trace);
    live.deadline = deadline;
    LogLine(LogLevel::debug, "request_received")
        .with("request", request.id)
        .with("connection", request.connection)
        .with("trace", live.trace)
        .with("class", settings_.classes[static_cast<std::size_t>(event.request_class)].name)
        .with("customer", event.customer)
        .with("left", event.time_left);
    guard_.request_arrived(request.id, event.request_class, deadline);
    waits_.push({live.deadline, request.id, true});
    feed(std::move(event));
}

void Runtime::on_left(std::uint64_t id) {
    const auto it = live_.find(id);
    if (it == live_.end()) return;
    if (it->second.passing_on >= 0) return pool_->cancel({id, it->second.passing_on});
    if (it->second.answered) return;
    LogLine(LogLevel::debug, "client_left").with("request", id).with("trace", it->second.trace);
    guard_.client_left(id);
    feed_before(decision::ClientDisconnected{id}, [&] { close(it); });
}

// A connection that this side closes with a request in hand leaves that without an answer.
void Runtime::on_client_closed(ClientCloseReason cause, std::uint64_t request) {
    metrics_.client_closed(cause);
    const bool own_doing = cause == ClientCloseReason::evicted ||
                           cause == ClientCloseReason::linger_timeout ||
                           cause == ClientCloseReason::timeout || cause == ClientCloseReason::internal_error;
    const auto it = live_.find(request);
    if (!own_doing || request == 0 || it == live_.end() || it->second.answered) return;
    guard_.closed_unanswered();
    LogLine(LogLevel::error, "closed_unanswered")
        .with("request", request)
        .with("trace", it->second.trace)
        .with("cause", to_string(cause));
}

// ---- hosts ----

void Runtime::on_attempt(const HostPool::AttemptKey& key, const std::string& uid, HostResult&& result) {
    const auto it = live_.find(key.request);
    if (it == live_.end()) return;
    Live& live = it->second;
    --live.out;
    metrics_.attempt_ended(result.outcome);
    guard_.attempt_ended(key.request, key.attempt, outcome_of(result.outcome));
    LogLine(LogLevel::debug, "attempt_ended")
        .with("request", key.request)
        .with("trace", live.trace)
        .with("attempt", key.attempt)
        .with("host", uid)
        .with("outcome", to_string(result.outcome))
        .with("took", result.elapsed);
    const bool serves = result.outcome == HostOutcome::success && !live.answered;
    if (live.passing_on == key.attempt) {
        live.passing_on = -1;
        if (result.outcome == HostOutcome::success)
            clients_->end_answer(key.request, std::move(result.answer.body()));
        else clients_->break_answer(key.request);
    }
    decision::AttemptEnded event{
        key.request, key.attempt, uid, outcome_of(result.outcome), result.elapsed, live.answered || serves,
        0,           {}};
    if (!result.load_report.empty()) event.report = read_load_report(result.load_report);
    feed_before(std::move(event), [&] {
        if (serves) finish(it, std::move(result.answer));
        else drop_if_over(key.request);
    });
}

// From here on the client owns the attempt: its time is over when the host or the client is done with it.
bool Runtime::on_begun(const HostPool::AttemptKey& key, const std::string& uid, HostResult&& result) {
    const auto it = live_.find(key.request);
    if (it == live_.end() || it->second.answered) return false;
    it->second.passing_on = key.attempt;
    LogLine(LogLevel::debug, "answer_begun").with("request", key.request).with("trace", it->second.trace);
    metrics_.answered(result.answer.result_int());
    guard_.answered(key.request, clock_.now());
    feed_before(decision::ResponseStarted{key.request, uid}, [&] { close(it); });
    clients_->begin_answer(key.request, std::move(result.answer));
    return true;
}

void Runtime::on_probe(const std::string& uid, HostResult&& result) {
    decision::HealthCheckEnded event{uid, outcome_of(result.outcome), result.elapsed, {}};
    if (result.outcome == HostOutcome::success)
        event.report =
            read_load_report(result.load_report.empty() ? result.answer.body() : result.load_report);
    feed(std::move(event));
}

void Runtime::on_list(const EndpointList& list) {
    if (!list.whole && list.endpoints.empty()) return;  // a watch that ended with no news
    decision::HostsChanged event;
    event.complete_list = list.whole;
    if (list.whole) ready_hosts_.clear();
    std::unordered_set<std::string_view> named;
    for (const Endpoint& t : list.endpoints) {
        named.insert(t.uid);
        if (t.state == EndpointState::ready) ready_hosts_.insert(t.uid);
        else ready_hosts_.erase(t.uid);
        known_names_.listed(t.uid);
        if (t.state == EndpointState::gone) known_names_.gone(t.uid, Steady::now());
        event.entries.push_back({t.uid, t.zone, t.kind, t.cell, state_of(t.state), t.weight,
                                 std::chrono::milliseconds(t.boot_ms)});
    }
    if (list.whole) known_names_.only(named, Steady::now());
    known_names_.forget_old(Steady::now(), pool_->banned());
    hosts_ready_ = !ready_hosts_.empty();
    guard_.hosts_changed(event);
    log_list(list);
    // The module hears of the change before what the change itself ends, and the pool knows the hosts by
    // then.
    feed_before(std::move(event), [&] { pool_->update(list); });
}

// ---- operators ----

http::status Runtime::on_call(const AdminCall& call) {
    switch (call.kind) {
        case AdminCall::Kind::status:
            return ready() ? http::status::ok : http::status::service_unavailable;
        case AdminCall::Kind::ban:
        case AdminCall::Kind::put_back:
            if (!known_names_.contains(call.host)) return http::status::not_found;
            ban(call.host, call.kind == AdminCall::Kind::ban);
            upgrade_->tell(call.kind == AdminCall::Kind::ban ? HandoverMessage::Kind::ban
                                                             : HandoverMessage::Kind::put_back,
                           call.host);
            break;
        case AdminCall::Kind::stand_by:
        case AdminCall::Kind::activate:
            stand_by(call.kind == AdminCall::Kind::stand_by);
            upgrade_->tell(standby_ ? HandoverMessage::Kind::stand_by : HandoverMessage::Kind::activate);
            break;
    }
    return http::status::ok;
}
void Runtime::stand_by(bool on) {
    standby_ = on;
    if (clients_) clients_->stand_by(on);
}
// The module hears of it first, as of a change of the list.
void Runtime::ban(const std::string& uid, bool banned) {
    const decision::HostBanned event{uid, banned};
    LogLine(LogLevel::info, banned ? "host_taken_out" : "host_put_back").with("host", uid);
    guard_.host_banned(event);
    feed_before(event, [&] { pool_->ban(uid, banned); });
}

// ---- time ----

void Runtime::arm() {
    if (waits_.empty() || waits_.top().when >= armed_for_) return;
    armed_for_ = waits_.top().when;
    timer_.expires_after(std::max(armed_for_ - clock_.now(), 0us));
    timer_.async_wait([this](error_code stopped) {
        if (!stopped) on_time();
    });
}

void Runtime::on_time() {
    armed_for_ = Micros::max();
    const Micros now = clock_.now();
    while (!waits_.empty() && waits_.top().when <= now) {
        const Wait due = waits_.top();
        waits_.pop();
        if (!due.backstop) {
            feed(decision::TimerFired{due.token});
            continue;
        }
        // The module answers before this; a request that it has lost all the same must not hang.
        const auto it = live_.find(due.token);
        if (it == live_.end() || it->second.answered) continue;
        LogLine(LogLevel::error, "no_decision_by_deadline")
            .with("request", due.token)
            .with("trace", it->second.trace);
        give_up(it);
    }
    arm();
}
void Runtime::give_up(LiveAt live) {
    const std::uint64_t id = live->first;
    finish(live, make_answer(http::status::gateway_timeout));
    feed(decision::ClientDisconnected{id});
}

// ---- the end ----

void Runtime::reload(const Config& config) {
    LogLine(LogLevel::info, "configuration_reloaded")
        .with("discovery",
              config.discovery.address().to_string() + ':' + std::to_string(config.discovery.port()));
    discovery_->move_to(config.discovery);
}

void Runtime::drain(std::function<void()> done) {
    if (drained_) return;
    drained_ = std::move(done);
    if (!clients_) return drained_();
    LogLine(LogLevel::info, "draining").with("requests", static_cast<std::int64_t>(live_.size()));
    clients_->drain();
    Micros longest{0};
    for (const decision::RequestClass& c : settings_.classes) longest = std::max(longest, c.deadline);
    drain_until_ = clock_.now() + accept_after_term + std::min(longest, longest_wait) - before_kill;
    drain_timer_.expires_after(accept_after_term);
    drain_timer_.async_wait([this](error_code stopped) {
        if (!stopped) end_when_quiet();
    });
}
void Runtime::end_when_quiet() {
    // A client that never ends its half request does not keep the gateway, and one whose time goes beyond the
    // end has its answer now.
    const bool over = clock_.now() >= drain_until_;
    if (over) {
        std::vector<std::uint64_t> open;
        for (const auto& [id, live] : live_)
            if (!live.answered) open.push_back(id);
        for (const std::uint64_t id : open)
            if (const auto it = live_.find(id); it != live_.end() && !it->second.answered) give_up(it);
    }
    if (over || (clients_->quiet() && !clients_->take_rest() && !upgrade_->delivering())) {
        discovery_->stop();
        LogLine(LogLevel::info, "drained")
            .with("cause", over ? "time_over" : "quiet")
            .with("rule_violations", guard_.violations().total());
        return drained_();
    }
    drain_timer_.expires_after(look_again);
    drain_timer_.async_wait([this](error_code stopped) {
        if (!stopped) end_when_quiet();
    });
}

}  // namespace gateway::server

#include "host_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "clock.h"
#include "log.h"

namespace gateway::server {
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {
// An idle connection is closed this long before the host's own idle timeout, because a request that is
// written while the host closes the connection would be lost.
constexpr std::chrono::milliseconds idle_timeout_margin = 1s;
constexpr std::chrono::milliseconds sweep_interval = 250ms;
}  // namespace

HostPool::HostPool(asio::io_context& io, SocketBudget& budget, std::chrono::microseconds connect_timeout,
                   std::chrono::microseconds host_idle_timeout, Callbacks callbacks,
                   std::chrono::microseconds min_idle_time)
    : io_(io),
      budget_(budget),
      connect_timeout_(connect_timeout),
      idle_timeout_(std::max<std::chrono::microseconds>(host_idle_timeout - idle_timeout_margin,
                                                        host_idle_timeout / 2)),
      min_idle_time_(min_idle_time),
      callbacks_(std::move(callbacks)),
      sweep_timer_(io) {
    budget_.on_shortage(SocketBudget::Side::host, [this] { return evict_one_idle(); });
    close_expired_idle();
}

HostPool::~HostPool() {
    budget_.on_shortage(SocketBudget::Side::host, {});
    callbacks_.on_closed = {};
    for (const auto& connection : busy_connections_) connection->close(HostCloseReason::shutdown);
    for (const auto& [uid, host] : hosts_) {
        for (const auto& connection : host->idle_connections) connection->close(HostCloseReason::shutdown);
        host->idle_connections.clear();  // breaks the cycle of shared pointers between host and connections
    }
}

void HostPool::on_exchange_ended(const ConnectionPointer& connection) { busy_connections_.erase(connection); }

void HostPool::on_idle(const ConnectionPointer& connection) {
    connection->host()->idle_connections.push_back(connection);
    hosts_with_idle_.insert(connection->host());
}

void HostPool::on_idle_closing(const ConnectionPointer& connection) {
    auto& idle = connection->host()->idle_connections;
    idle.erase(std::find(idle.begin(), idle.end(), connection));
}

void HostPool::on_closed(HostCloseReason reason, const std::string& uid) {
    LogLine(LogLevel::debug, "host_connection_closed").with("reason", to_string(reason)).with("host", uid);
    if (callbacks_.on_closed) callbacks_.on_closed(reason);
}

void HostPool::on_attempt_result(const AttemptKey& key, const std::string& uid, HostResult&& result) {
    callbacks_.on_attempt_result(key, uid, std::move(result));
}

void HostPool::on_health_check_result(const std::string& uid, HostResult&& result) {
    callbacks_.on_health_check_result(uid, std::move(result));
}

bool HostPool::streams_responses() const { return static_cast<bool>(callbacks_.on_response_started); }

void HostPool::on_response_arriving(const AttemptKey& key) {
    if (callbacks_.on_response_arriving) callbacks_.on_response_arriving(key);
}

bool HostPool::on_response_begun(const AttemptKey& key, const std::string& uid, HostResult&& result) {
    return callbacks_.on_response_started(key, uid, std::move(result));
}

void HostPool::on_response_piece(const AttemptKey& key, std::string&& piece) {
    callbacks_.on_response_piece(key, std::move(piece));
}

void HostPool::update(const EndpointList& list) {
    if (list.complete)
        for (const auto& [uid, host] : hosts_) host->listed_ready = false;
    for (const Endpoint& listed : list.endpoints) {
        auto& host = hosts_[listed.uid];
        if (!host) host = std::make_shared<PooledHost>();
        host->uid = listed.uid;
        host->listed_ready = listed.state == EndpointState::ready;
        host->banned = banned_.contains(listed.uid);
        if (listed.state != EndpointState::gone) host->endpoint = listed.address;
    }
    end_requests_to_unavailable_hosts();
    const auto is_leaving = [](const auto& entry) { return !entry.second->listed_ready; };
    if (list.complete) {
        std::erase_if(hosts_, is_leaving);
        return;
    }
    for (const Endpoint& listed : list.endpoints)
        if (const auto host = hosts_.find(listed.uid); host != hosts_.end() && is_leaving(*host))
            hosts_.erase(host);
}

void HostPool::ban(const std::string& uid, bool banned) {
    if (banned) banned_.insert(uid);
    else banned_.erase(uid);
    const auto found = hosts_.find(uid);
    if (found == hosts_.end()) return;
    found->second->banned = banned;
    if (banned) end_requests_to_unavailable_hosts();
}

// Closes idle connections to hosts that accept no requests, and ends the attempts at them whose request is
// unsent. Otherwise a pending connect would send its request to a draining host when it succeeds.
void HostPool::end_requests_to_unavailable_hosts() {
    for (const auto& host : hosts_with_idle_) close_unusable_idle(*host);
    end_unsent(HostOutcome::connect_failed,
               [](const HostConnection& connection) { return !connection.host()->accepts_requests(); });
}

// Closes the idle connections of a host that accepts no requests, or those to its earlier address.
void HostPool::close_unusable_idle(PooledHost& host) {
    std::erase_if(host.idle_connections, [&host](const auto& connection) {
        const bool usable = host.accepts_requests() && connection->endpoint() == host.endpoint;
        if (!usable) connection->close(HostCloseReason::host_draining);
        return !usable;
    });
}

void HostPool::cancel_unsent(std::uint64_t request) {
    end_unsent(HostOutcome::withdrawn, [request](const HostConnection& connection) {
        return connection.carries_attempt_of(request);
    });
}

// Ends the exchanges with an unsent request on the connections that fulfil the predicate. Collects these
// connections first, because the callbacks of one exchange may end the exchange of another.
template <class Predicate>
void HostPool::end_unsent(HostOutcome outcome, Predicate predicate) {
    std::vector<ConnectionPointer> unsent;
    for (const auto& connection : busy_connections_)
        if (connection->request_unsent() && predicate(*connection)) unsent.push_back(connection);
    for (const auto& connection : unsent) connection->end_if_unsent(outcome);
}

// Returns an idle connection to the host, or a new one if none is idle. Returns null and sets `failure` if
// the host accepts no requests or the socket budget is exhausted.
HostPool::ConnectionPointer HostPool::acquire(const std::string& uid, HostOutcome& failure) {
    failure = HostOutcome::connect_failed;
    const auto found = hosts_.find(uid);
    if (found == hosts_.end() || !found->second->accepts_requests()) return nullptr;
    failure = HostOutcome::not_started;
    ConnectionPointer connection = take_idle(*found->second);
    if (!connection) connection = make_connection(found->second);
    if (!connection) return nullptr;
    busy_connections_.insert(connection);
    return connection;
}

// Returns the most recently used connection that has been idle for the minimum idle time. If there is none,
// returns one whose last exchange was a health check, which waits out that time before it writes: a request
// often follows a health check immediately, and a further connection would cost the host more than the wait
// costs the request. Returns null if there is none either. A host may send a second response some
// milliseconds after the first. If the next request were written immediately, the second response would be
// taken for the response to that request.
HostPool::ConnectionPointer HostPool::take_idle(PooledHost& host) {
    const auto now = Steady::now();
    auto connection = take_idle_if(host, [now](const HostConnection& idle) { return idle.rested(now); });
    if (connection) return connection;
    return take_idle_if(host, [](const HostConnection& idle) { return idle.last_was_health_check(); });
}

template <class Condition>
HostPool::ConnectionPointer HostPool::take_idle_if(PooledHost& host, Condition condition) {
    auto& idle = host.idle_connections;
    for (auto position = idle.size(); position-- > 0;) {
        if (!condition(*idle[position])) continue;
        auto candidate = std::move(idle[position]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(position));
        if (candidate->has_no_pending_input()) return candidate;
        candidate->close(HostCloseReason::closed_by_host);
    }
    return nullptr;
}

// Returns null if the socket budget is exhausted.
HostPool::ConnectionPointer HostPool::make_connection(const std::shared_ptr<PooledHost>& host) {
    auto slot = budget_.acquire(SocketBudget::Side::host);
    if (!slot) return nullptr;
    HostConnectionOwner& owner = *this;
    return std::make_shared<HostConnection>(io_, owner, host, std::move(*slot), connect_timeout_,
                                            min_idle_time_);
}

void HostPool::attempt(const AttemptKey& key, const std::string& uid, Request& message,
                       std::chrono::microseconds timeout,
                       std::optional<std::chrono::microseconds> delivery_timeout) {
    HostResult not_sent;
    const auto connection = acquire(uid, not_sent.outcome);
    if (!connection) return callbacks_.on_attempt_result(key, uid, std::move(not_sent));
    connection->send_attempt(key, message, timeout, delivery_timeout);
}

void HostPool::check_health(const std::string& uid) {
    HostResult not_sent;
    const auto connection = acquire(uid, not_sent.outcome);
    if (!connection) return callbacks_.on_health_check_result(uid, std::move(not_sent));
    connection->send_health_check(connect_timeout_);
}

HostPool::ConnectionPointer HostPool::connection_of(const AttemptKey& key) const {
    const auto found = std::find_if(busy_connections_.begin(), busy_connections_.end(),
                                    [&](const auto& connection) { return connection->carries(key); });
    return found == busy_connections_.end() ? nullptr : *found;
}

void HostPool::cancel(const AttemptKey& key) {
    if (const auto connection = connection_of(key)) connection->cancel();
}

bool HostPool::stream_arriving(const AttemptKey& key, StreamReason reason) {
    const auto connection = connection_of(key);
    return connection && connection->stream_arriving(reason);
}

void HostPool::resume_reading(const AttemptKey& key) {
    if (const auto connection = connection_of(key)) connection->resume_reading();
}

void HostPool::hand_over(const PassSocket& pass_socket) {
    const auto now = Steady::now();
    for (const auto& host : hosts_with_idle_)
        for (const auto& connection : std::exchange(host->idle_connections, {})) {
            if (!connection->has_no_pending_input()) {
                connection->close(HostCloseReason::closed_by_host);
                continue;
            }
            pass_socket(
                connection->release(), host->uid,
                std::chrono::duration_cast<std::chrono::microseconds>(now - connection->idle_since()));
        }
}

void HostPool::adopt(Descriptor&& socket, const std::string& uid, std::chrono::microseconds idle_for) {
    const auto found = hosts_.find(uid);
    if (found == hosts_.end() || !found->second->accepts_requests()) return;
    const auto connection = make_connection(found->second);
    if (!connection) return;
    if (!connection->adopt(std::move(socket), idle_for)) return;
    hosts_with_idle_.insert(found->second);
    auto& idle = found->second->idle_connections;
    const auto more_recent = std::find_if(idle.begin(), idle.end(), [&](const auto& other) {
        return other->idle_since() > connection->idle_since();
    });
    idle.insert(more_recent, connection);
}

// Closes the connection that has been idle for the longest time. Returns false if none is idle.
bool HostPool::evict_one_idle() {
    PooledHost* oldest = nullptr;
    for (const auto& host : hosts_with_idle_) {
        if (host->idle_connections.empty()) continue;
        if (oldest == nullptr ||
            host->idle_connections.front()->idle_since() < oldest->idle_connections.front()->idle_since())
            oldest = host.get();
    }
    if (oldest == nullptr) return false;
    const auto connection = std::move(oldest->idle_connections.front());
    oldest->idle_connections.erase(oldest->idle_connections.begin());
    connection->close(HostCloseReason::evicted);
    return true;
}

// Closes the connections whose idle timeout has passed, and schedules the next sweep.
void HostPool::close_expired_idle() {
    const auto expired_before = Steady::now() - idle_timeout_;
    std::erase_if(hosts_with_idle_, [](const auto& host) { return host->idle_connections.empty(); });
    for (const auto& host : hosts_with_idle_) {
        auto& idle = host->idle_connections;
        const auto first_kept = std::find_if(idle.begin(), idle.end(), [&](const auto& connection) {
            return connection->idle_since() > expired_before;
        });
        std::for_each(idle.begin(), first_kept,
                      [](const auto& connection) { connection->close(HostCloseReason::idle_timeout); });
        idle.erase(idle.begin(), first_kept);
    }
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) close_expired_idle();
    });
}

}  // namespace gateway::server

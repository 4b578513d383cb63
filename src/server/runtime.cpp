#include "runtime.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "bind_retry.h"
#include "log.h"

namespace gateway::server {
using namespace std::chrono_literals;

namespace {
// How long requests are held back for discovery's first endpoint list. After that, the gateway serves with
// the list from the configuration.
constexpr auto initial_list_time = 500ms;

template <class... Overloads>
struct Visitor : Overloads... {
    using Overloads::operator()...;
};
template <class... Overloads>
Visitor(Overloads...) -> Visitor<Overloads...>;
}  // namespace

Runtime::Runtime(boost::asio::io_context& io, SocketBudget& budget, const Config& config)
    : config_(config),
      gateway_(config.settings, config.seed, clock_.now()),
      guard_(config.settings),
      timers_(io, clock_,
              {[this](std::uint64_t token) { dispatcher_.dispatch(decision::TimerFired{token}); },
               [this](decision::RequestId request) { requests_.on_deadline(request); },
               [this](std::uint64_t token) { return gateway_.awaits_timer(token); },
               [this](decision::RequestId request) { return requests_.awaits_answer(request); }}),
      dispatcher_(
          gateway_, clock_, [this](decision::Action& action) { execute(action); }, [this] { timers_.arm(); }),
      hosts_(guard_, dispatcher_, pool_),
      requests_({clock_, config_.settings, guard_, metrics_, dispatcher_, timers_, pool_, listeners_}),
      initial_list_timeout_(io),
      pool_(io, budget, config.connect_timeout, config.host_idle_timeout, host_callbacks()),
      listeners_(io, config_, budget,
                 {client_callbacks(),
                  [this](int from, std::string_view bytes) {
                      dispatcher_.dispatch(decision::MessageArrived{from, std::string(bytes)});
                  }}),
      upgrade_(io, {config_, budget, dispatcher_, hosts_, pool_, listeners_, requests_}),
      shutdown_(io, {clock_, config_.settings, guard_, listeners_, requests_, upgrade_}) {
    EndpointList configured = config_.initial_endpoints;
    configured.complete = true;
    hosts_.on_configured_list(configured);
    if (config_.admin_listen) admin_server_ = bind_with_retry("mgmt", [&] { return make_admin_server(io); });
    start_initial_list_timeout();
    discovery_ = make_discovery(io);
    upgrade_.begin();
}

HostPool::Callbacks Runtime::host_callbacks() {
    HostPool::Callbacks callbacks;
    callbacks.on_attempt_result = [this](const auto& key, const auto& uid, HostResult&& result) {
        requests_.on_attempt_ended(key, uid, std::move(result));
    };
    callbacks.on_health_check_result = [this](const auto& uid, HostResult&& result) {
        hosts_.on_health_check_ended(uid, std::move(result));
    };
    callbacks.on_response_arriving = [this](const auto& key) { requests_.on_response_arriving(key); };
    callbacks.on_response_started = [this](const auto& key, const auto& uid, HostResult&& result) {
        return requests_.on_response_started(key, uid, std::move(result));
    };
    callbacks.on_response_piece = [this](const auto& key, std::string&& piece) {
        listeners_.clients()->send_piece(key.request, std::move(piece));
    };
    callbacks.on_closed = [this](HostCloseReason reason) { metrics_.host_closed(reason); };
    return callbacks;
}

ClientServer::Callbacks Runtime::client_callbacks() {
    ClientServer::Callbacks callbacks;
    callbacks.on_request = [this](ClientRequest&& request) { requests_.on_request(std::move(request)); };
    callbacks.on_disconnected = [this](std::uint64_t id) { requests_.on_client_disconnected(id); };
    callbacks.ready = [this] { return ready(); };
    callbacks.on_piece_written = [this](std::uint64_t id) { requests_.on_piece_written(id); };
    callbacks.on_closed = [this](ClientCloseReason reason, std::uint64_t request) {
        requests_.on_client_closed(reason, request);
    };
    return callbacks;
}

std::unique_ptr<AdminServer> Runtime::make_admin_server(boost::asio::io_context& io) {
    return std::make_unique<AdminServer>(
        io, *config_.admin_listen, [this](const AdminCall& call) { return on_admin_call(call); },
        [this] { return metrics(); });
}

std::unique_ptr<Discovery> Runtime::make_discovery(boost::asio::io_context& io) {
    const auto on_list = [this](const EndpointList& list) {
        hosts_.on_discovery_list(list);
        on_initial_list_ready();
    };
    // If discovery is polled, the watch begins from the version of the configured list: discovery can serve
    // only half as many gateways if each begins with a call for the complete list.
    std::optional<std::int64_t> known_version;
    if (!config_.lists_pushed && !config_.initial_endpoints.endpoints.empty())
        known_version = config_.initial_endpoints.version;
    return std::make_unique<Discovery>(
        io, config_.discovery, on_list,
        Discovery::timing_for(config_.settings.instances, config_.lists_pushed, config_.max_poll_interval),
        config_.seed, known_version);
}

void Runtime::execute(decision::Action& action) {
    std::visit(
        Visitor{
            [this](const decision::CheckHealth& check) { pool_.check_health(check.host); },
            [this](const decision::SetTimer& timer) {
                // The time is rounded up to the next multiple of the tick, as in the simulator, so that
                // timers that are due close together cause a single wake-up.
                const Micros tick = std::max(config_.settings.tick, 1us);
                const Micros due = clock_.now() + std::max(timer.from_now, 1us);
                timers_.add_timer((due / tick + 1) * tick, timer.token);
            },
            [this](const decision::SendMessage& message) {
                if (PeerLink* const peers = listeners_.peers()) peers->send(message.to, message.bytes);
            },
            [this](decision::SaveSnapshot& snapshot) { upgrade_.save_snapshot(std::move(snapshot.bytes)); },
            [this](const auto& on_request) { requests_.execute(on_request); },
        },
        action);
}

void Runtime::start_initial_list_timeout() {
    initial_list_timeout_.expires_after(initial_list_time);
    initial_list_timeout_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) on_initial_list_ready();
    });
}

// Requests are processed only from here on, because with an outdated configured list, a request could be sent
// to a host that has been removed since.
void Runtime::on_initial_list_ready() {
    listeners_.start_accepting();
    upgrade_.ready_to_serve();
}

http::status Runtime::on_admin_call(const AdminCall& call) {
    switch (call.kind) {
        case AdminCall::Kind::status:
            return ready() ? http::status::ok : http::status::service_unavailable;
        case AdminCall::Kind::ban:
        case AdminCall::Kind::unban: {
            if (!hosts_.known_names().contains(call.host)) return http::status::not_found;
            const bool banned = call.kind == AdminCall::Kind::ban;
            hosts_.set_banned(call.host, banned);
            upgrade_.notify_ban(call.host, banned);
            break;
        }
        case AdminCall::Kind::enter_standby:
        case AdminCall::Kind::leave_standby: {
            const bool standby = call.kind == AdminCall::Kind::enter_standby;
            listeners_.set_standby(standby);
            upgrade_.notify_standby(standby);
            break;
        }
    }
    return http::status::ok;
}

void Runtime::reload(const Config& config) {
    LogLine(LogLevel::info, "configuration_reloaded")
        .with("discovery",
              config.discovery.address().to_string() + ':' + std::to_string(config.discovery.port()));
    discovery_->set_agent(config.discovery);
}

void Runtime::drain(std::function<void()> on_drained) { shutdown_.start(*discovery_, std::move(on_drained)); }

}  // namespace gateway::server

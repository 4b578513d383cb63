// Implements Gateway: routes events to the decision modules and to RequestFlow.
#include <memory>
#include <utility>
#include <variant>

#include "gateway/interface.h"
#include "modules.h"
#include "request_flow.h"
#include "snapshot.h"
#include "tuning.h"

namespace gateway::decision {

class Gateway::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : modules_(std::move(settings), seed, now), flow_(modules_) {}

    void handle(Micros now, const Event& event, Actions& actions) {
        context().begin_event(now, actions);
        if (!context().heartbeat_started()) heartbeat();
        std::visit([this](const auto& occurred) { on(occurred); }, event);
    }

    [[nodiscard]] bool awaits_timer(std::uint64_t token) const {
        const auto [kind, subject] = read_timer_token(token);
        return !belongs_to_request(kind) || flow_.contains(subject);
    }

  private:
    Context& context() { return modules_.context; }

    void on(const RequestArrived& arrival) { flow_.on_arrived(arrival); }
    void on(const AttemptEnded& ended) { flow_.on_attempt_ended(ended); }
    void on(const ResponseArriving& response) { flow_.on_response_arriving(response); }
    void on(const ResponseStarted& response) { flow_.on_response_started(response); }
    void on(const ClientDisconnected& client) { flow_.on_client_disconnected(client); }
    void on(const HealthCheckEnded& check) { flow_.on_health_check_ended(check); }

    void on(const HostsChanged& change) {
        modules_.hosts.update(change);
        flow_.remove_departed_hosts();
        flow_.dispatch_queued();
    }
    void on(const HostBanned& ban) {
        if (!modules_.hosts.set_banned(ban.host, ban.banned)) return;
        modules_.hosts.refresh_order();
        flow_.dispatch_queued();
    }

    void on(const MessageArrived& message) {
        const Settings& settings = context().settings();
        const bool from_peer =
            message.from >= 0 && message.from < settings.instances && message.from != settings.rank;
        if (!from_peer || context().handed_over()) return;
        const auto messages = modules_.messenger.receive(message);
        if (!messages) return;
        for (const PeerMessage& received : *messages)
            std::visit([&](const auto& content) { on_peer(content, message.from); }, received);
    }
    void on_peer(const LeaseRequest& request, int from) {
        if (!is_valid(request)) return;
        const bool urgent = request.required_units > 0 || request.ceiling_units > 0;
        modules_.messenger.post(from, modules_.ledger.grant(request), urgent);
    }
    void on_peer(const LeaseGrant& grant, int from) { flow_.on_lease_grant(from, grant); }
    void on_peer(const PermitRequest& request, int from) {
        if (is_valid(request)) flow_.on_permit_request(request, from);
    }
    void on_peer(const PermitGrant& grant, int from) { flow_.on_permit_grant(grant, from); }
    // Whether a peer's request is valid under the settings of this gateway.
    bool is_valid(const auto& request) {
        const Settings& settings = context().settings();
        return request.plan < static_cast<int>(settings.plans.size()) && request.set_size >= 1 &&
               request.set_size <= settings.instances;
    }

    void on(const TimerFired& timer) {
        const auto [kind, subject] = read_timer_token(timer.token);
        if (kind == TimerKind::lease_request)
            return flow_.on_lease_timeout(static_cast<std::uint32_t>(subject));
        if (kind == TimerKind::flush) return modules_.messenger.on_flush_timer(static_cast<int>(subject));
        if (kind == TimerKind::heartbeat && subject == 0) return heartbeat();
        if (kind == TimerKind::inherited_in_flight) return flow_.end_inherited_attempts();
        if (kind == TimerKind::permit_renewal)
            return flow_.on_permit_renewal(static_cast<std::uint32_t>(subject));
        flow_.on_timer(kind, subject);
    }

    void heartbeat() {
        context().heartbeat();
        if (context().since(last_sweep_at_) < sweep_period) return;
        last_sweep_at_ = context().now();
        remove_idle_state();
    }
    // Removes idle state from all modules.
    void remove_idle_state() {
        flow_.remove_departed_hosts();
        modules_.hosts.expire_departed();
        const Micros idle_timeout = modules_.customers.idle_timeout();
        modules_.messenger.expire_idle(idle_timeout);
        modules_.ledger.expire_idle(idle_timeout);
        modules_.leases.expire_overdue();
        modules_.customers.expire_idle();
    }

    // Passes the quotas to the successor process, except for the units reserved by requests that this process
    // has admitted. This prevents two processes from spending the same quota. Requests that wait for a lease
    // or a permit at that time are rejected.
    void on(const HandedOver& handover) {
        const bool had_handed_over = context().handed_over();
        context().set_handed_over(handover.to_successor);
        if (handover.to_successor && !had_handed_over) {
            context().emit(SaveSnapshot{save_snapshot(modules_)});
            modules_.ledger.clear();
            flow_.reject_waiting();
        }
        // If this process resumes, its quotas begin with the values of a process start, because the other
        // process may have spent everything that it received.
        if (!handover.to_successor) context().restart_at(context().now());
        for (auto& [name, customer] : modules_.customers) modules_.leases.reset(customer);
    }
    void on(const RestoreSnapshot& snapshot) {
        restore_snapshot(modules_, snapshot.bytes);
        flow_.track_inherited_attempts();
        modules_.hosts.refresh_order();
    }

    Modules modules_;
    RequestFlow flow_;
    Micros last_sweep_at_{0};
};

Gateway::Gateway(Settings settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}
bool Gateway::awaits_timer(std::uint64_t token) const { return impl_->awaits_timer(token); }

}  // namespace gateway::decision

// Faults of gateways: restarts, kills, upgrades, pauses, reloads and operators' admin calls.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "fault_injector.h"
#include "text.h"

namespace fault_soak {
namespace {

// Time within which the new process of an upgrade must be ready.
constexpr Duration upgrade_ready_within = 6s;
// Within this time after SIGHUP, the gateway has switched to the new discovery address, so that the old one
// is no longer needed.
constexpr Duration reload_time = 1500ms;
// How long the truncated configuration file stays in place.
constexpr Duration truncated_file_time = 100ms;
constexpr std::uint64_t shortest_pause_ms = 50;
constexpr std::uint64_t pause_spread_ms = 100;
// A killed gateway stays down for the length of the fault divided by this.
constexpr int kill_down_time_divisor = 4;
constexpr Duration shortest_age_at_reload = 1s;
constexpr std::uint64_t max_reloads_in_series = 3;
constexpr std::uint64_t signal_interval_limit_ms = 250;
constexpr Duration signal_interval_in_shutdown = 200ms;
constexpr int gateways_in_turn = 3;
constexpr Duration interval_in_turn = 500ms;
constexpr const char* status_request = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace

Task FaultInjector::await_exit(GatewayProcess& process, Time until) {
    while (!process.exited() && Clock::now() < until) co_await sleep_for(process_poll_interval);
}

Task FaultInjector::restart_gateway(Fault fault) {
    co_await shut_down_gateway(fault.gateway, shutdown_time);
    testbed_.start_process(fault.gateway, gateway_of(fault).admin);
    co_await testbed_.await_ready(fault.gateway);
}

Task FaultInjector::shut_down_gateway(int number, Duration signal_interval) {
    GatewayUnderTest& gateway = testbed_.gateway(number);
    const Time terminated = Clock::now();
    testbed_.oracle.gateway_terminated(number, terminated);
    gateway.process->signal(SIGTERM);
    // The load balancer notices the restart only after a delay. Clients use their open connections until the
    // gateway closes them.
    co_await sleep_for(load_balancer_delay);
    testbed_.set_in_rotation(number, false);
    const Time killed = terminated + shutdown_time;
    for (int signals = 0; !gateway.process->exited() && Clock::now() < killed; ++signals) {
        co_await await_exit(*gateway.process, std::min<Time>(killed, Clock::now() + signal_interval));
        if (Clock::now() < killed) gateway.process->signal(signals % 2 == 0 ? SIGHUP : SIGTERM);
    }
    if (!gateway.process->exited()) {
        gateway.process->signal(SIGKILL);
        testbed_.oracle.gateway_killed(number, Clock::now());
        while (!gateway.process->exited()) co_await sleep_for(process_poll_interval);
    } else if (gateway.process->wait_status() != 0) {
        testbed_.oracle.report(Invariant::no_crash, "",
                               concat("gateway ", number, " did not shut down gracefully"), Clock::now());
    }
    testbed_.oracle.gateway_exited(number, Clock::now(), true);
}

Task FaultInjector::signal_gateway_in_series(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    // The platform sends no SIGHUP in the first second of a process.
    co_await sleep_for(shortest_age_at_reload);
    const std::uint64_t reloads = 1 + fault.variation % max_reloads_in_series;
    for (std::uint64_t reload = 0; reload < reloads; ++reload) {
        gateway.agent_address = 1 - gateway.agent_address;
        testbed_.write_config(fault.gateway, gateway.admin);
        gateway.process->signal(SIGHUP);
        co_await sleep_for(Duration(static_cast<std::int64_t>(fault.variation % signal_interval_limit_ms)));
    }
    co_await shut_down_gateway(fault.gateway, signal_interval_in_shutdown);
    testbed_.start_process(fault.gateway, gateway.admin);
    co_await testbed_.await_ready(fault.gateway);
}

Task FaultInjector::restart_gateways_in_turn(Fault fault) {
    for (int next = 1; next < gateways_in_turn; ++next) {
        Fault further = fault;
        further.gateway = (fault.gateway + next) % testbed_.options.plan.gateways;
        if (further.gateway == fault.gateway || std::exchange(gateway_of(further).changing, true)) continue;
        asio::co_spawn(testbed_.io, restart_later(further, next * interval_in_turn), asio::detached);
    }
    co_await restart_gateway(fault);
}

Task FaultInjector::restart_later(Fault fault, Duration delay) {
    co_await sleep_for(delay);
    co_await restart_gateway(fault);
    release_target(fault);
}

Task FaultInjector::kill_gateway(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    gateway.process->signal(SIGKILL);
    testbed_.oracle.gateway_killed(fault.gateway, Clock::now());
    testbed_.set_in_rotation(fault.gateway, false);
    while (!gateway.process->exited()) co_await sleep_for(process_poll_interval);
    testbed_.oracle.gateway_exited(fault.gateway, Clock::now(), true);
    co_await sleep_for(fault.length / kill_down_time_divisor);
    testbed_.start_process(fault.gateway, gateway.admin);
    co_await testbed_.await_ready(fault.gateway);
}

Task FaultInjector::upgrade_gateway(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    gateway.former_process = std::move(gateway.process);
    testbed_.start_process(fault.gateway, gateway.next_admin);
    HttpResult status;
    const Time ready_deadline = Clock::now() + upgrade_ready_within + testbed_.options.slack;
    while (status.code != 200 && Clock::now() < ready_deadline && !gateway.process->exited()) {
        co_await sleep_for(health_poll_interval);
        status = co_await testbed_.send_request(gateway.next_admin, status_request);
    }
    if (status.code != 200)
        testbed_.oracle.report(
            Invariant::ready_in_time, "",
            concat("the new process was not ready in time during the upgrade of gateway ", fault.gateway),
            Clock::now());
    gateway.former_process->signal(SIGTERM);
    co_await await_exit(*gateway.former_process, Clock::now() + shutdown_time);
    if (!gateway.former_process->exited()) {
        // The destructor of the process object sends SIGKILL.
        testbed_.oracle.gateway_killed(fault.gateway, Clock::now());
    } else if (gateway.former_process->wait_status() != 0) {
        testbed_.oracle.report(
            Invariant::no_crash, "",
            concat("the former process did not shut down gracefully after the upgrade of gateway ",
                   fault.gateway),
            Clock::now());
    }
    gateway.former_process.reset();
    std::swap(gateway.admin, gateway.next_admin);
}

Task FaultInjector::pause_gateway(Fault fault) {
    const auto& process = gateway_of(fault).process;
    const std::uint64_t pause_ms = shortest_pause_ms + fault.variation % pause_spread_ms;
    process->signal(SIGSTOP);
    co_await sleep_for(Duration(static_cast<std::int64_t>(pause_ms)));
    process->signal(SIGCONT);
}

// The new configuration contains the other address of the discovery agent.
Task FaultInjector::reload_gateway(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    gateway.agent_address = 1 - gateway.agent_address;
    testbed_.write_config(fault.gateway, gateway.admin);
    gateway.process->signal(SIGHUP);
    co_await sleep_for(reload_time);
}

Task FaultInjector::reload_truncated_file(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    const std::string config = testbed_.config_json(fault.gateway, gateway.admin);
    std::ofstream(gateway.config) << config.substr(0, fault.variation % config.size());
    gateway.process->signal(SIGHUP);
    co_await sleep_for(truncated_file_time);
    testbed_.write_config(fault.gateway, gateway.admin);
}

Task FaultInjector::call_admin_server(const Fault& fault, std::string path, std::string body,
                                      bool& succeeded) {
    const std::string request =
        concat("POST ", path, " HTTP/1.1\r\nHost: x\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    const HttpResult result = co_await testbed_.send_request(gateway_of(fault).admin, request);
    succeeded = result.code == 200;
}

// A restarted gateway loses its bans, so no other fault may restart the gateway during the ban. The claim on
// the target of this fault prevents that.
Task FaultInjector::ban_host(Fault fault) {
    const std::string uid = testbed_.host_list.hosts()[static_cast<std::size_t>(fault.host)].uid;
    bool succeeded = false;
    co_await call_admin_server(fault, "/maintenance/enter", uid, succeeded);
    if (!succeeded) co_return;
    testbed_.oracle.host_banned(fault.gateway, fault.host, Clock::now());
    co_await sleep_for(fault.length);
    testbed_.oracle.host_banned(fault.gateway, fault.host, std::nullopt);
    co_await call_admin_server(fault, "/maintenance/exit", uid, succeeded);
}

Task FaultInjector::put_on_standby(Fault fault) {
    bool succeeded = false;
    co_await call_admin_server(fault, "/standby", "", succeeded);
    if (!succeeded) co_return;
    co_await sleep_for(load_balancer_delay);
    testbed_.set_in_rotation(fault.gateway, false);
    co_await sleep_for(fault.length);
    co_await call_admin_server(fault, "/active", "", succeeded);
    co_await testbed_.await_health(fault.gateway);
}

}  // namespace fault_soak

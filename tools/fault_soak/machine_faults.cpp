// Faults of clients, and faults of system calls, which the shim in the gateway processes injects.
#include "bad_client.h"
#include "fault_injector.h"
#include "watchdog.h"

namespace fault_soak {
namespace {

constexpr std::int64_t clock_step_s = 3600;
constexpr std::uint64_t bad_clients_per_fault = 6;
// Length of the fault. The planned length is ignored.
constexpr Duration bad_clients_time = 4s;

// More connections than the configuration of the gateways allows descriptors.
constexpr int crowd_size = 420;
constexpr Duration crowd_reconnect_pause = 100ms;

// Keeps an idle connection open, and connects again when the gateway closes it.
Task run_idle_client(asio::io_context& io, tcp::endpoint gateway, Time until) {
    while (Clock::now() < until) {
        tcp::socket socket(io);
        {
            Watchdog watchdog(io, socket, until);
            error_code error;
            co_await socket.async_connect(gateway, into(error));
            char byte = 0;
            if (!error) co_await socket.async_read_some(asio::buffer(&byte, 1), into(error));
        }
        // The socket outlives a queued handler of the watchdog.
        co_await sleep_for(io, crowd_reconnect_pause);
    }
}

}  // namespace

Task FaultInjector::set_shim_rate(Fault fault, ShimRate rate, std::uint32_t thousandths) {
    std::atomic<std::uint32_t>& value = (**gateway_of(fault).control).*rate;
    value = thousandths;
    co_await sleep_for(fault.length);
    value = 0;
}

Task FaultInjector::shorten_io(Fault fault, std::uint32_t thousandths) {
    ShimControl& control = **gateway_of(fault).control;
    control.short_reads = thousandths;
    co_await set_shim_rate(fault, &ShimControl::short_writes, thousandths);
    control.short_reads = 0;
}

Task FaultInjector::step_wall_clock(Fault fault) {
    MappedControl& control = *gateway_of(fault).control;
    control->wall_clock_step_s = fault.variation % 2 == 0 ? clock_step_s : -clock_step_s;
    co_await sleep_for(fault.length);
    control->wall_clock_step_s = 0;
}

Task FaultInjector::run_bad_clients(Fault fault) {
    GatewayUnderTest& gateway = gateway_of(fault);
    const int process_count = gateway.process_count;
    BadClientOptions options;
    options.gateway = testbed_.load_balancer.gateways[static_cast<std::size_t>(fault.gateway)];
    options.slack = testbed_.options.slack;
    options.is_gateway_running = [&gateway, process_count] {
        return gateway.process_count == process_count && !gateway.changing;
    };
    for (std::uint64_t client = 0; client < bad_clients_per_fault; ++client) {
        options.variation = fault.variation + client;
        asio::co_spawn(testbed_.io, run_bad_client(testbed_.io, options, testbed_.oracle), asio::detached);
    }
    co_await sleep_for(bad_clients_time);
}

Task FaultInjector::disconnect_clients(Fault fault) {
    testbed_.client_behaviour.disconnects_early = true;
    co_await sleep_for(fault.length);
    testbed_.client_behaviour.disconnects_early = false;
}

Task FaultInjector::crowd_gateway(Fault fault) {
    const auto gateway = static_cast<std::size_t>(fault.gateway);
    std::vector<bool>& crowded = testbed_.client_behaviour.crowded;
    crowded[gateway] = true;
    const Time until = Clock::now() + fault.length;
    for (int client = 0; client < crowd_size; ++client)
        asio::co_spawn(testbed_.io,
                       run_idle_client(testbed_.io, testbed_.load_balancer.gateways[gateway], until),
                       asio::detached);
    co_await sleep_for(fault.length);
    // Requests that were sent in the crowd end within their deadlines.
    co_await sleep_for(OracleSettings{}.longest_deadline);
    crowded[gateway] = false;
}

}  // namespace fault_soak

#include "testbed.h"

#include <fstream>

#include "gateway_config.h"
#include "loopback_ports.h"
#include "text.h"

namespace fault_soak {
namespace {

// Time that a gateway has to become healthy before the wait for it ends.
constexpr Duration ready_within = 15s;
constexpr Duration request_timeout = 1s;
// Time after which a gateway is assumed to know a list that it polls.
constexpr Duration polled_list_known_after = 6s;
constexpr OracleSettings gateway_settings;
constexpr const char* health_request = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
// Factors of the run's seed that make the seeds of hosts, clients, gateways and shims differ.
constexpr std::uint64_t host_seed_factor = 1000;
constexpr std::uint64_t client_seed_factor = 7919;
constexpr std::uint64_t gateway_seed_factor = 131;
constexpr std::uint64_t shim_seed_factor = 1009;

std::uint64_t seed_of(std::uint64_t run_seed, std::uint64_t factor, int number) {
    return run_seed * factor + static_cast<unsigned>(number);
}

std::string loopback(std::uint16_t port) { return concat("127.0.0.1:", port); }

tcp::endpoint endpoint_of(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

OracleSettings with_slack(OracleSettings settings, Duration slack) {
    settings.slack = slack;
    return settings;
}

}  // namespace

Testbed::Testbed(const SoakOptions& soak_options)
    : options(soak_options),
      oracle(with_slack(gateway_settings, options.slack), options.plan.gateways, options.plan.hosts),
      host_list(options.plan.hosts),
      black_hole(io),
      lists_pushed(options.plan.seed % 3 != 0) {
    client_behaviour.slack = options.slack;
    client_behaviour.crowded.resize(static_cast<std::size_t>(options.plan.gateways));
    make_hosts();
    make_gateways();
    make_clients();
}

void Testbed::make_hosts() {
    std::vector<tcp::endpoint> endpoints;
    for (int host = 0; host < options.plan.hosts; ++host) {
        const std::string& zone = host_list.hosts()[static_cast<std::size_t>(host)].zone;
        const std::uint64_t seed = seed_of(options.plan.seed, host_seed_factor, host);
        host_stubs.push_back(std::make_unique<HostStub>(io, host, zone, seed, oracle));
        endpoints.push_back(host_stubs.back()->endpoint());
    }
    proxy = std::make_unique<FaultProxy>(io, options.plan.gateways, endpoints);
    for (const auto& host : host_stubs) host->use_proxy(*proxy);
}

void Testbed::make_gateways() {
    LoopbackPorts ports;
    gateways.resize(static_cast<std::size_t>(options.plan.gateways));
    for (int number = 0; number < options.plan.gateways; ++number) {
        GatewayUnderTest& created = gateway(number);
        created.listen = loopback(ports.allocate());
        created.admin = loopback(ports.allocate());
        created.next_admin = loopback(ports.allocate());
        created.peer_listen = loopback(ports.allocate());
        created.folder = options.folder / concat("gateway-", number);
        created.config = created.folder / "config.json";
        std::filesystem::create_directories(created.folder);
        created.control = std::make_unique<MappedControl>(created.folder / "control");
        (*created.control)->black_hole_port = black_hole.port();
        created.agent = std::make_unique<DiscoveryAgent>(
            io, host_list, proxy->addresses_for(number),
            [this, number](Time list_time) { oracle.list_delivered(number, list_time, Clock::now()); });
        load_balancer.gateways.push_back(endpoint_of(created.listen));
        load_balancer.in_rotation.push_back(false);
    }
}

void Testbed::make_clients() {
    for (int client = 0; client < options.clients_per_gateway * options.plan.gateways; ++client) {
        const std::uint64_t seed = seed_of(options.plan.seed, client_seed_factor, client);
        clients.push_back(
            std::make_unique<Client>(io, client, seed, load_balancer, client_behaviour, oracle));
    }
}

GatewayUnderTest& Testbed::gateway(int number) { return gateways[static_cast<std::size_t>(number)]; }
HostStub& Testbed::host_stub(int number) { return *host_stubs[static_cast<std::size_t>(number)]; }

std::string Testbed::config_json(int gateway_number, const std::string& admin) const {
    const GatewayUnderTest& gateway_under_test = gateways[static_cast<std::size_t>(gateway_number)];
    GatewayConfig config;
    config.number = gateway_number;
    config.gateways = options.plan.gateways;
    config.seed = seed_of(options.plan.seed, gateway_seed_factor, gateway_number);
    config.listen = gateway_under_test.listen;
    config.admin = admin;
    config.discovery = gateway_under_test.agent->address(gateway_under_test.agent_address);
    config.peer_listen = gateway_under_test.peer_listen;
    for (const GatewayUnderTest& peer : gateways) config.peers.push_back(peer.peer_listen);
    config.known_list = gateway_under_test.agent->known_list();
    config.lists_pushed = lists_pushed;
    config.may_hedge = options.plan.seed % 2 == 0;
    return to_json(config, gateway_settings);
}

void Testbed::write_config(int gateway_number, const std::string& admin) const {
    const GatewayUnderTest& gateway_under_test = gateways[static_cast<std::size_t>(gateway_number)];
    const std::filesystem::path new_file = gateway_under_test.folder / "config.json.new";
    std::ofstream(new_file) << config_json(gateway_number, admin);
    std::filesystem::rename(new_file, gateway_under_test.config);
}

void Testbed::start_process(int gateway_number, const std::string& admin) {
    GatewayUnderTest& started = gateway(gateway_number);
    write_config(gateway_number, admin);
    GatewayProcessOptions process;
    process.program = options.program;
    process.shim = options.shim;
    process.folder = started.folder;
    process.config = started.config;
    process.number = started.process_count;
    process.shim_seed = seed_of(options.plan.seed, shim_seed_factor, gateway_number);
    ++started.process_count;
    started.process = std::make_unique<GatewayProcess>(process);
    started.logs.push_back(started.process->log());
    const Time now = Clock::now();
    oracle.gateway_started(gateway_number, now);
    // A new process is assumed to know the current list of its agent from the start.
    record_list(gateway_number, now);
}

asio::awaitable<HttpResult> Testbed::send_request(const std::string& address, std::string request) {
    return send_http_request(io, endpoint_of(address), std::move(request), request_timeout + options.slack);
}

Task Testbed::await_health(int gateway_number) {
    const std::string listen = gateway(gateway_number).listen;
    const Time health_deadline = Clock::now() + ready_within + options.slack;
    HttpResult health;
    while (health.code != 200 && Clock::now() < health_deadline && !stopping) {
        co_await sleep_for(io, health_poll_interval);
        health = co_await send_request(listen, health_request);
    }
    set_in_rotation(gateway_number, health.code == 200);
}

Task Testbed::await_ready(int gateway_number) {
    co_await await_health(gateway_number);
    oracle.gateway_ready(gateway_number, Clock::now());
}

void Testbed::set_in_rotation(int gateway_number, bool in_rotation) {
    load_balancer.in_rotation[static_cast<std::size_t>(gateway_number)] = in_rotation;
}

void Testbed::change_host(int host, HostState state, std::int64_t boot_ms) {
    const bool was_ready = host_list.hosts()[static_cast<std::size_t>(host)].state == HostState::ready;
    host_list.change(host, state, boot_ms);
    const Time now = Clock::now();
    if (state != HostState::ready) oracle.host_withdrawn(host, now);
    else if (!was_ready) oracle.host_returned(host, now, boot_ms != 0);
    for (int number = 0; number < options.plan.gateways; ++number) record_list(number, now);
}

void Testbed::record_list(int gateway_number, Time list_time) {
    record_pushed_list(gateway_number, list_time);
    if (!lists_pushed) asio::co_spawn(io, record_polled_list(gateway_number, list_time), asio::detached);
}

void Testbed::record_pushed_list(int gateway_number, Time at) {
    if (lists_pushed && !gateway(gateway_number).agent->faults.silent)
        oracle.list_delivered(gateway_number, at, at);
}

Task Testbed::record_polled_list(int gateway_number, Time list_time) {
    const DiscoveryAgent& agent = *gateway(gateway_number).agent;
    const std::size_t silence_count = agent.faults.silence_count;
    if (agent.faults.silent) co_return;
    co_await sleep_for(io, polled_list_known_after);
    if (silence_count == agent.faults.silence_count)
        oracle.list_delivered(gateway_number, list_time, Clock::now());
}

}  // namespace fault_soak

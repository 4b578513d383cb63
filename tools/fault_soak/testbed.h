// Everything that a run consists of apart from its faults: gateways as processes, and hosts, discovery,
// clients and the network between them in this one.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "black_hole.h"
#include "client.h"
#include "discovery_stub.h"
#include "fault_proxy.h"
#include "gateway_process.h"
#include "host_list.h"
#include "host_stub.h"
#include "http_request.h"
#include "mapped_control.h"
#include "oracle.h"
#include "soak_options.h"

namespace fault_soak {

// Between two looks at whether a process has exited.
constexpr Duration process_poll_interval = 20ms;
// Between two health checks of a gateway that starts.
constexpr Duration health_poll_interval = 50ms;
// From SIGTERM or standby until the load balancer takes a gateway out of rotation.
constexpr Duration load_balancer_delay = 300ms;
// As at a planned restart of the platform: SIGKILL comes so long after the longest deadline has passed since
// SIGTERM, and the soak waits for a margin beyond that.
constexpr Duration kill_after_longest_deadline = 700ms;
constexpr Duration kill_margin = 100ms;
// From SIGTERM to SIGKILL.
constexpr Duration shutdown_time =
    OracleSettings{}.longest_deadline + kill_after_longest_deadline + kill_margin;

// One gateway of the run: its addresses, its files and the process that runs it.
struct GatewayUnderTest {
    std::string listen;
    std::string admin;
    std::string next_admin;  // of the next process of an upgrade
    std::string peers;       // where it takes messages from other gateways
    std::filesystem::path folder;
    std::filesystem::path config;
    std::unique_ptr<MappedControl> control;
    std::unique_ptr<DiscoveryAgent> agent;
    int agent_address = 0;  // index of the agent's address that the configuration names
    std::unique_ptr<GatewayProcess> process;
    std::unique_ptr<GatewayProcess> former_process;  // during an upgrade
    int process_count = 0;                           // started so far
    bool changing = false;                           // a fault ends, starts or replaces it now
    std::vector<std::filesystem::path> logs;         // of all its processes
};

// The parts are public, as faults act on them directly.
class Testbed {
  public:
    explicit Testbed(const SoakOptions& soak_options);
    Testbed(const Testbed&) = delete;
    Testbed& operator=(const Testbed&) = delete;

    [[nodiscard]] GatewayUnderTest& gateway(int number);
    [[nodiscard]] HostStub& host_stub(int number);

    // ---- gateways ----

    // Writes the configuration and starts a new process with that address of the admin server.
    void start_process(int gateway_number, const std::string& admin);
    // Replaces the configuration file in one step: a reader finds the old one or the new one.
    void write_config(int gateway_number, const std::string& admin) const;
    [[nodiscard]] std::string config_json(int gateway_number, const std::string& admin) const;
    // Puts a gateway into rotation as soon as it is healthy; gives up after a while.
    Task await_health(int gateway_number);
    // The same after a start, which the oracle holds to its limit of time.
    Task await_ready(int gateway_number);
    void set_in_rotation(int gateway_number, bool in_rotation);
    [[nodiscard]] asio::awaitable<HttpResult> send_request(const std::string& address, std::string request);

    // ---- discovery ----

    // `boot_ms`: Unix time of the host's restart in milliseconds; 0: it has not restarted.
    void change_host(int host, HostState state, std::int64_t boot_ms);
    // Where lists are pushed, a gateway counts as knowing what its agent has, unless the agent is silent.
    void note_pushed_list(int gateway_number, Time at);
    // Where lists are polled, a gateway counts as knowing a list some seconds after its agent had it and
    // could be reached.
    Task note_polled_list(int gateway_number, Time list_time);

    // `io` outlives the other parts, whose coroutines it holds.
    const SoakOptions options;
    asio::io_context io;
    Oracle oracle;
    HostList host_list;
    std::vector<std::unique_ptr<HostStub>> host_stubs;
    std::unique_ptr<FaultProxy> proxy;
    BlackHole black_hole;
    std::vector<GatewayUnderTest> gateways;
    LoadBalancer load_balancer;
    ClientBehaviour client_behaviour;
    std::vector<std::unique_ptr<Client>> clients;
    const bool lists_pushed;  // by discovery; otherwise gateways poll them
    bool stopping = false;    // the run is over: nothing waits for a gateway any more

  private:
    void make_hosts();
    void make_gateways();
    void make_clients();
    void note_list(int gateway_number, Time list_time);
};

}  // namespace fault_soak

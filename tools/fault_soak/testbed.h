// The parts of a run apart from its faults: gateways, which run as processes of their own, and stubs of
// hosts, discovery, clients and the network between them, which run in this process.
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

// Interval between two checks whether a process has exited.
constexpr Duration process_poll_interval = 20ms;
// Interval between two health checks of a starting gateway.
constexpr Duration health_poll_interval = 50ms;
// Time from SIGTERM or standby until the load balancer takes a gateway out of rotation.
constexpr Duration load_balancer_delay = 300ms;
// Time from SIGTERM to SIGKILL in a planned restart, the shortest that the platform allows: the longest
// deadline plus `kill_after_longest_deadline`.
constexpr Duration kill_after_longest_deadline = 700ms;
constexpr Duration shutdown_time = OracleSettings{}.longest_deadline + kill_after_longest_deadline;

// One gateway of the run: its addresses, its files and the process that runs it.
struct GatewayUnderTest {
    std::string listen;
    std::string admin;
    // Admin address of the next process of an upgrade.
    std::string next_admin;
    // Address at which the gateway receives peer messages.
    std::string peer_listen;
    std::filesystem::path folder;
    std::filesystem::path config;
    std::unique_ptr<MappedControl> control;
    std::unique_ptr<DiscoveryAgent> agent;
    // Index of the agent address that the configuration contains.
    int agent_address = 0;
    std::unique_ptr<GatewayProcess> process;
    // The predecessor during an upgrade, otherwise null.
    std::unique_ptr<GatewayProcess> former_process;
    // Number of processes started so far.
    int process_count = 0;
    // Whether a fault is ending, starting, replacing or reconfiguring the process now. Also set for the rest
    // of the run after an unexpected exit.
    bool changing = false;
    // Log files of all processes of this gateway.
    std::vector<std::filesystem::path> logs;
};

// Owns the gateways, stubs and clients of one run. They are public because faults act on them directly.
class Testbed {
  public:
    explicit Testbed(const SoakOptions& soak_options);
    Testbed(const Testbed&) = delete;
    Testbed& operator=(const Testbed&) = delete;

    [[nodiscard]] GatewayUnderTest& gateway(int number);
    [[nodiscard]] HostStub& host_stub(int number);

    // Writes the configuration and starts a new process whose admin server listens on `admin`.
    void start_process(int gateway_number, const std::string& admin);
    // Replaces the configuration file atomically, so that a reader finds either the old or the new file.
    void write_config(int gateway_number, const std::string& admin) const;
    [[nodiscard]] std::string config_json(int gateway_number, const std::string& admin) const;
    // Waits until the gateway is healthy and puts it into rotation. Takes it out of rotation after a timeout.
    Task await_health(int gateway_number);
    // Calls await_health() after a start and then reports the current time to the oracle, which checks the
    // time limit of a start.
    Task await_ready(int gateway_number);
    void set_in_rotation(int gateway_number, bool in_rotation);
    [[nodiscard]] asio::awaitable<HttpResult> send_request(const std::string& address, std::string request);

    // Changes the state of a host in the endpoint list. `boot_ms` is the Unix time of the restart of the host
    // in milliseconds, or 0 if it has not restarted.
    void change_host(int host, HostState state, std::int64_t boot_ms);
    // Reports to the oracle that the gateway knows the list of the time `at`. When lists are pushed, a
    // gateway is assumed to know the list of its agent at once, unless the agent is silent. Has no effect
    // when lists are polled.
    void record_pushed_list(int gateway_number, Time at);
    // Reports to the oracle, after some seconds, that the gateway knows the list of the time `list_time`.
    // When lists are polled, a gateway is assumed to know a list some seconds after its agent had the list,
    // unless the agent was silent meanwhile.
    Task record_polled_list(int gateway_number, Time list_time);

    const SoakOptions options;
    // Holds the coroutines of the other parts. Declared before them, so that it outlives them.
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
    // Whether discovery pushes endpoint lists to the gateways. Otherwise gateways poll them.
    const bool lists_pushed;
    // Set when the load is over and the responses are due, so that no coroutine waits for a gateway any more.
    bool stopping = false;

  private:
    void make_hosts();
    void make_gateways();
    void make_clients();
    void record_list(int gateway_number, Time list_time);
};

}  // namespace fault_soak

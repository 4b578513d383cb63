// One run: gateways as processes, everything around them in this one, and the troubles of a plan.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clients.h"
#include "discovery_stub.h"
#include "fault_proxy.h"
#include "gateway_process.h"
#include "host_list.h"
#include "host_stub.h"
#include "oracle.h"
#include "plan.h"

namespace fault_soak {

struct SoakOptions {
    PlanShape shape;
    std::filesystem::path program, shim, folder;
    Span slack{100};  // for the machine's own lateness, on every limit of time
    int clients = 4;  // of each gateway
    std::optional<TroubleKind> only;
    bool verbose = false;
};

class Soak {
  public:
    explicit Soak(const SoakOptions& options);
    // Plays the plan to its end.
    void run();
    const Oracle& oracle() const { return oracle_; }
    std::string plan_text() const;
    // What happened to a request, and what its gateways logged of it.
    std::string trace_of(const Violation& violation) const;
    Time origin() const { return origin_; }
    // Ended by a signal: its gateways have been ended as well, and nothing is proved.
    bool interrupted() const { return interrupted_; }
    // How late this program's own loop has been at most: beyond the slack, limits of time prove nothing.
    Span worst_lateness() const { return worst_lateness_; }

  private:
    struct Gateway {
        std::string listen, admin, next_admin, peers;
        std::filesystem::path folder, config;
        std::unique_ptr<MappedControl> control;
        std::unique_ptr<DiscoveryAgent> agent;
        int agent_address = 0;  // of the agent's two
        std::unique_ptr<GatewayProcess> process, former;
        int processes = 0;
        bool changing = false;  // it is ended, started or replaced by a trouble now
        std::optional<Time> reload_at;
        std::vector<std::filesystem::path> logs;
    };

    void make_gateways();
    void fill_black_hole();
    std::string config_of(const Gateway& gateway, int number, const std::string& admin) const;
    void write_config(const Gateway& gateway, int number, const std::string& admin) const;
    void start_process(int number, const std::string& admin);
    Task await_health(int number);  // and admits clients
    Task await_ready(int number);   // after a start
    Task ask(std::string address, std::string request, unsigned& status, std::string& body);
    Task watch_lateness();
    Task watch_processes();

    Task play();
    Task play_trouble(Trouble trouble);
    Task carry_out(Trouble trouble);
    Task restart(int number);
    Task kill(int number, Span down);
    Task upgrade(int number);
    Task pause_process(int number, Span length);
    Task reload(int number);
    Task bad_file(int number, std::uint64_t chance);
    Task host_out(int host, HostState state, Span length);
    Task host_restart(int host, Span down);
    Task host_mode(int host, HostMode mode, Span length);
    Task link_silent(int gateway, int host, Span length);
    Task link_late(int gateway, int host, Span late, Span length);
    Task with_agent(int gateway, bool AgentFaults::*fault, Span length);
    Task short_io(int gateway, Span length);
    Task discovery_silent(int gateway, Span length);
    Task with_shim(int gateway, std::atomic<std::uint32_t> ShimControl::*chance, std::uint32_t thousandths,
                   Span length);
    Task wall_clock_step(int gateway, std::int64_t seconds, Span length);
    Task bad_clients(int gateway, std::uint64_t chance);
    Task clients_leave(Span length);
    Task operator_ban(int gateway, int host, Span length);
    Task operator_standby(int gateway, Span length);
    Task operator_call(int gateway, std::string path, std::string body, bool& done);
    void change_host(int host, HostState state, std::int64_t boot_ms);
    void tell_pushed(int gateway, Time at);
    Task tell_asked_later(int gateway, Time of);
    Task end_all();
    void read_logs();

    SoakOptions options_;
    asio::io_context io_;
    Oracle oracle_;
    HostList list_;
    std::vector<std::unique_ptr<HostStub>> hosts_;
    std::vector<bool> host_busy_;  // by a trouble
    std::unique_ptr<FaultProxy> proxy_;
    tcp::acceptor black_hole_;  // its queue is full
    std::vector<tcp::socket> black_hole_fillers_;
    std::vector<Gateway> gateways_;
    Front front_;
    ClientMood mood_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<Trouble> plan_;
    bool pushed_ = true;  // lists are pushed, not asked for
    Time origin_;
    Span worst_lateness_{0};
    bool ending_ = false;
    bool interrupted_ = false;
};

}  // namespace fault_soak

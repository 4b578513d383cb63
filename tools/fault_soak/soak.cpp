#include "soak.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "text.h"

namespace fault_soak {
namespace {
constexpr Span look_again = 20ms, health_again = 50ms, ready_most = 15s;
// As at a planned restart of the platform: SIGKILL comes so long after SIGTERM.
constexpr Span listener_stays = 300ms, kill_after_longest = 700ms, kill_margin = 100ms;
constexpr Span upgrade_most = 6s, agent_closes_after = 1500ms, told_after_reload = 4s, told_after = 6s;
constexpr Span late_answer = 500ms;
constexpr Span answers_due = 2500ms;  // after the last request, until all is judged
constexpr std::uint32_t always = 1000, often = 300, seldom = 50;  // thousandths of calls
constexpr std::int64_t an_hour = 3600;
constexpr RuleTerms terms;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch()).count();
}
std::string loopback(std::uint16_t port) { return concat("127.0.0.1:", port); }
tcp::endpoint endpoint_of(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}
std::string micros(Span span) { return std::to_string(span.count() * 1000); }

// The value of a metric; none: it is not told.
std::optional<std::int64_t> metric(const std::string& text, const std::string& name) {
    const std::size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos) return std::nullopt;
    return std::stoll(text.substr(at + name.size() + 2));
}
// What a gateway's own check has counted. An answer half a second late is the machine's doing where that is
// given such slack.
std::int64_t faults_told(const std::string& metrics, Span slack) {
    const auto all = metric(metrics, "api_gateway_rule_violations_total");
    const auto late = metric(metrics, "api_gateway_late_answers_total");
    if (!all || !late) return -1;
    return slack >= late_answer ? *all - *late : *all;
}

RuleTerms with_slack(Span slack) {
    RuleTerms with = terms;
    with.slack = slack;
    return with;
}
}  // namespace

Soak::Soak(const SoakOptions& options)
    : options_(options),
      oracle_(with_slack(options.slack), options.shape.gateways, options.shape.hosts),
      list_(options.shape.hosts),
      host_busy_(static_cast<std::size_t>(options.shape.hosts)),
      black_hole_(io_),
      plan_(draw_plan(options.shape)),
      pushed_(options.shape.seed % 3 != 0) {
    mood_.slack = options.slack;
    if (options.only)
        for (Trouble& trouble : plan_) trouble.kind = *options.only;
    std::vector<tcp::endpoint> endpoints;
    for (int host = 0; host < options.shape.hosts; ++host) {
        const std::string& zone = list_.hosts()[static_cast<std::size_t>(host)].zone;
        hosts_.push_back(std::make_unique<HostStub>(
            io_, host, zone, options.shape.seed * 1000 + static_cast<unsigned>(host), oracle_));
        endpoints.push_back(hosts_.back()->endpoint());
    }
    proxy_ = std::make_unique<FaultProxy>(io_, options.shape.gateways, endpoints);
    for (const auto& host : hosts_) host->use(*proxy_);
    fill_black_hole();
    make_gateways();
    for (int client = 0; client < options.clients * options.shape.gateways; ++client)
        clients_.push_back(std::make_unique<Client>(
            io_, client, options.shape.seed * 7919 + static_cast<unsigned>(client), front_, mood_, oracle_));
}

// A listener that accepts none and whose queue is full: the kernel drops what asks for a connection.
void Soak::fill_black_hole() {
    constexpr int fillers = 4;
    black_hole_.open(tcp::v4());
    black_hole_.bind(any_port());
    black_hole_.listen(0);
    for (int i = 0; i < fillers; ++i) {
        black_hole_fillers_.emplace_back(io_);
        black_hole_fillers_.back().async_connect(black_hole_.local_endpoint(), [](error_code) {});
    }
}

// ---- gateways ----

void Soak::make_gateways() {
    Ports ports;
    gateways_.resize(static_cast<std::size_t>(options_.shape.gateways));
    for (int number = 0; number < options_.shape.gateways; ++number) {
        Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
        gateway.listen = loopback(ports.take());
        gateway.admin = loopback(ports.take());
        gateway.next_admin = loopback(ports.take());
        gateway.peers = loopback(ports.take());
        gateway.folder = options_.folder / concat("gateway-", number);
        gateway.config = gateway.folder / "config.json";
        std::filesystem::create_directories(gateway.folder);
        gateway.control = std::make_unique<MappedControl>(gateway.folder / "control");
        (*gateway.control)->black_hole_port = black_hole_.local_endpoint().port();
        gateway.agent = std::make_unique<DiscoveryAgent>(
            io_, list_, proxy_->addresses_for(number),
            [this, number](Time of) { oracle_.told(number, of, Clock::now()); });
        front_.gateways.push_back(endpoint_of(gateway.listen));
        front_.admitted.push_back(false);
    }
}

std::string Soak::config_of(const Gateway& gateway, int number, const std::string& admin) const {
    std::string peers;
    for (const Gateway& other : gateways_)
        peers.append(peers.empty() ? "\"" : ",\"").append(other.peers).append("\"");
    std::ostringstream text;
    text
        << R"({"name":"n)" << number << R"(","listen":")" << gateway.listen << R"(","mgmt":")" << admin
        << R"(","discovery":")" << gateway.agent->address(gateway.agent_address) << R"(","seed":")"
        << std::hex << options_.shape.seed * 131 + static_cast<unsigned>(number) << std::dec
        << R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":384},"peer_listen":")" << gateway.peers
        << R"(","peers":[)" << peers << R"(],"known":)" << gateway.agent->known() << R"(,"settings":{"rank":)"
        << number << R"(,"instances":)" << options_.shape.gateways
        << R"(,"locality":"a","failureDomains":["a","b"],"tickUs":2000,"membershipMode":")"
        << (pushed_ ? "automatic" : "subscribe") << R"(","requestClasses":[)"
        << R"({"name":"read","effect":"retryable","deadlineUs":800000,"promiseUs":300000,"value":1},)"
        << R"({"name":"book","effect":"dedup","dedupScope":"zone","deadlineUs":1500000,"promiseUs":700000,)"
        << R"("repeatWindowUs":)" << micros(terms.repeat_window) << R"(,"value":3},)"
        << R"({"name":"pay","effect":"fragile","deadlineUs":1200000,"promiseUs":600000,"value":4}],)"
        << R"("tiersOfService":[{"name":"open","rate":0,"mostAtOnce":0,"worthFactor":1},)"
        << R"({"name":"metered","rate":8,"mostAtOnce":8,"maxOut":2,"worthFactor":1,"excessCost":0.5}],)"
        << R"("familyInfo":{"mailPerS":200,"unitsTop":3},"reporting":{"how":"inline","names":["outstanding","backlog"]},)"
        << R"("ceilings":{"cancel":true,"probes":true,"peers":true,"retryAfter":true,"maxAttempts":4,)"
        << R"("mayDuplicate":)" << (options_.shape.seed % 2 == 0 ? "true" : "false")
        << R"(,"connIdleUs":3000000,"connectTimeoutUs":250000,"maxRetryAfterUs":1000000},)"
        << R"("guarantees":{"answerSlackUs":8000,"askWithinUs":1000000,"stopSendingWithinUs":)"
        << micros(terms.drain_grace) << R"(,"coldUs":)" << micros(terms.cold) << R"(,"fallUs":)"
        << micros(terms.fall) << R"(,"startCapacity":)" << terms.cold_from << R"(,"overloadFactor":)"
        << terms.overload_factor << "}}}";
    return text.str();
}
// Whoever reads it finds the old one or the new one, as the platform does it.
void Soak::write_config(const Gateway& gateway, int number, const std::string& admin) const {
    const std::filesystem::path fresh = gateway.folder / "config.json.new";
    std::ofstream(fresh) << config_of(gateway, number, admin);
    std::filesystem::rename(fresh, gateway.config);
}

void Soak::start_process(int number, const std::string& admin) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    write_config(gateway, number, admin);
    gateway.process = std::make_unique<GatewayProcess>(
        GatewayProcess::Files{options_.program, options_.shim, gateway.folder}, gateway.config,
        gateway.processes++, options_.shape.seed * 1009 + static_cast<unsigned>(number));
    gateway.logs.push_back(gateway.process->log());
    const Time now = Clock::now();
    oracle_.gateway_started(number, now);
    // A new process has been told what its agent has from the first moment on.
    tell_pushed(number, now);
    if (!pushed_) asio::co_spawn(io_, tell_asked_later(number, now), asio::detached);
}

Task Soak::ask(std::string address, std::string request, unsigned& status, std::string& body) {
    tcp::socket socket(io_);
    asio::steady_timer patience(io_, 1s + options_.slack);
    patience.async_wait([&socket](error_code stopped) {
        error_code ignored;
        if (!stopped) socket.close(ignored);
    });
    error_code ec;
    co_await socket.async_connect(endpoint_of(address), into(ec));
    if (!ec) co_await asio::async_write(socket, asio::buffer(request), into(ec));
    boost::beast::flat_buffer buffer;
    HttpAnswer answer;
    if (!ec) co_await http::async_read(socket, buffer, answer, into(ec));
    status = ec ? 0 : answer.result_int();
    body = answer.body();
    patience.cancel();
    // The handler of the timer refers to the socket: it runs before this ends.
    co_await asio::post(io_, asio::use_awaitable);
}

Task Soak::await_health(int number) {
    const std::string listen = gateways_[static_cast<std::size_t>(number)].listen;
    const Time give_up = Clock::now() + ready_most + options_.slack;
    unsigned status = 0;
    std::string body;
    while (status != 200 && Clock::now() < give_up && !ending_) {
        co_await pause(io_, health_again);
        co_await ask(listen, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", status, body);
    }
    front_.admitted[static_cast<std::size_t>(number)] = status == 200;
}
Task Soak::await_ready(int number) {
    co_await await_health(number);
    oracle_.gateway_ready(number, Clock::now());
}

// ---- troubles of gateways ----

Task Soak::restart(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    const Time asked = Clock::now();
    oracle_.gateway_asked_to_end(number, asked);
    gateway.process->signal(SIGTERM);
    // The front notices only later; clients use the connections that they have for as long as those stay
    // open.
    co_await pause(io_, listener_stays);
    front_.admitted[static_cast<std::size_t>(number)] = false;
    const Time kill_at = asked + terms.longest_deadline + kill_after_longest + kill_margin;
    while (!gateway.process->ended() && Clock::now() < kill_at) co_await pause(io_, look_again);
    const bool killed = !gateway.process->ended();
    if (killed) {
        gateway.process->signal(SIGKILL);
        oracle_.gateway_killed(number, Clock::now());
        while (!gateway.process->ended()) co_await pause(io_, look_again);
    } else if (gateway.process->status() != 0) {
        oracle_.violate(Rule::crash, "", concat("gateway ", number, " did not end in good order"),
                        Clock::now());
    }
    oracle_.gateway_ended(number, Clock::now(), true);
    start_process(number, gateway.admin);
    co_await await_ready(number);
}

Task Soak::kill(int number, Span down) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.process->signal(SIGKILL);
    oracle_.gateway_killed(number, Clock::now());
    front_.admitted[static_cast<std::size_t>(number)] = false;
    while (!gateway.process->ended()) co_await pause(io_, look_again);
    oracle_.gateway_ended(number, Clock::now(), true);
    co_await pause(io_, down);
    start_process(number, gateway.admin);
    co_await await_ready(number);
}

Task Soak::upgrade(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.former = std::move(gateway.process);
    start_process(number, gateway.next_admin);
    unsigned status = 0;
    std::string body;
    const Time give_up = Clock::now() + upgrade_most + options_.slack;
    while (status != 200 && Clock::now() < give_up && !gateway.process->ended()) {
        co_await pause(io_, health_again);
        co_await ask(gateway.next_admin, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", status, body);
    }
    if (status != 200)
        oracle_.violate(Rule::not_ready, "", concat("upgrade of gateway ", number), Clock::now());
    gateway.former->signal(SIGTERM);
    const Time kill_at = Clock::now() + terms.longest_deadline + kill_after_longest + kill_margin;
    while (!gateway.former->ended() && Clock::now() < kill_at) co_await pause(io_, look_again);
    if (!gateway.former->ended()) oracle_.gateway_killed(number, Clock::now());
    else if (gateway.former->status() != 0)
        oracle_.violate(Rule::crash, "", concat("the former process of gateway ", number), Clock::now());
    gateway.former.reset();
    std::swap(gateway.admin, gateway.next_admin);
}

Task Soak::pause_process(int number, Span length) {
    const auto& process = gateways_[static_cast<std::size_t>(number)].process;
    process->signal(SIGSTOP);
    co_await pause(io_, length);
    process->signal(SIGCONT);
}

// The new configuration names the agent's other address; the old one closes its connections soon.
Task Soak::reload(int number) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.agent_address = 1 - gateway.agent_address;
    write_config(gateway, number, gateway.admin);
    gateway.process->signal(SIGHUP);
    co_await pause(io_, agent_closes_after);
}

Task Soak::bad_file(int number, std::uint64_t chance) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    const std::string whole = config_of(gateway, number, gateway.admin);
    std::ofstream(gateway.config) << whole.substr(0, chance % whole.size());
    gateway.process->signal(SIGHUP);
    co_await pause(io_, Span(100));
    write_config(gateway, number, gateway.admin);
}

// ---- troubles of discovery ----

void Soak::change_host(int host, HostState state, std::int64_t boot_ms) {
    const bool was_ready = list_.hosts()[static_cast<std::size_t>(host)].state == HostState::ready;
    list_.change(host, state, boot_ms);
    const Time now = Clock::now();
    if (state != HostState::ready) oracle_.host_leaves(host, now);
    else if (!was_ready) oracle_.host_back(host, now, boot_ms != 0);
    for (int gateway = 0; gateway < options_.shape.gateways; ++gateway) {
        tell_pushed(gateway, now);
        if (!pushed_) asio::co_spawn(io_, tell_asked_later(gateway, now), asio::detached);
    }
}
// Where lists are pushed, what the agent has counts as told, unless it is silent.
void Soak::tell_pushed(int gateway, Time at) {
    if (pushed_ && !gateways_[static_cast<std::size_t>(gateway)].agent->faults.silent)
        oracle_.told(gateway, at, at);
}
// Where they are asked for, a change counts as told some seconds after discovery had it and could be reached.
Task Soak::tell_asked_later(int gateway, Time of) {
    const auto& agent = *gateways_[static_cast<std::size_t>(gateway)].agent;
    const std::size_t silences = agent.faults.silences;
    if (agent.faults.silent) co_return;
    co_await pause(io_, told_after);
    if (silences == agent.faults.silences) oracle_.told(gateway, of, Clock::now());
}
Task Soak::discovery_silent(int number, Span length) {
    DiscoveryAgent& agent = *gateways_[static_cast<std::size_t>(number)].agent;
    if (agent.faults.silent) co_return;
    agent.fall_silent();
    co_await pause(io_, length);
    agent.faults.silent = false;
    tell_pushed(number, Clock::now());
    if (!pushed_) co_await tell_asked_later(number, Clock::now());
}

// ---- troubles of hosts and links ----

Task Soak::host_out(int host, HostState state, Span length) {
    change_host(host, state, 0);
    co_await pause(io_, length);
    change_host(host, HostState::ready, 0);
}
Task Soak::host_restart(int host, Span down) {
    HostStub& stub = *hosts_[static_cast<std::size_t>(host)];
    stub.set_mode(HostMode::down);
    change_host(host, HostState::gone, 0);
    co_await pause(io_, down);
    stub.set_mode(HostMode::serves);
    change_host(host, HostState::ready, unix_ms());
}
Task Soak::host_mode(int host, HostMode mode, Span length) {
    HostStub& stub = *hosts_[static_cast<std::size_t>(host)];
    stub.set_mode(mode);
    co_await pause(io_, length);
    stub.set_mode(HostMode::serves);
}
Task Soak::link_silent(int gateway, int host, Span length) {
    LinkFaults& link = proxy_->link(gateway, host);
    link.silent = true;
    co_await pause(io_, length);
    link.silent = false;
}
Task Soak::link_late(int gateway, int host, Span late, Span length) {
    LinkFaults& link = proxy_->link(gateway, host);
    link.late = late;
    proxy_->reset_connections(gateway, host);
    co_await pause(io_, length);
    link.late = Span(0);
}

// ---- troubles of the machine and of clients ----

Task Soak::with_shim(int gateway, std::atomic<std::uint32_t> ShimControl::*chance, std::uint32_t thousandths,
                     Span length) {
    std::atomic<std::uint32_t>& value = (**gateways_[static_cast<std::size_t>(gateway)].control).*chance;
    value = thousandths;
    co_await pause(io_, length);
    value = 0;
}
Task Soak::wall_clock_step(int gateway, std::int64_t seconds, Span length) {
    MappedControl& control = *gateways_[static_cast<std::size_t>(gateway)].control;
    control->wall_clock_step_s = seconds;
    co_await pause(io_, length);
    control->wall_clock_step_s = 0;
}
Task Soak::bad_clients(int number, std::uint64_t chance) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
    const int process = gateway.processes;
    for (std::uint64_t client = 0; client < 6; ++client)
        asio::co_spawn(
            io_,
            run_bad_client(
                io_, front_.gateways[static_cast<std::size_t>(number)], chance + client, options_.slack,
                [&gateway, process] { return gateway.processes == process && !gateway.changing; }, oracle_),
            asio::detached);
    co_await pause(io_, 4s);
}
Task Soak::clients_leave(Span length) {
    mood_.leaves_early = true;
    co_await pause(io_, length);
    mood_.leaves_early = false;
}

Task Soak::operator_call(int number, std::string path, std::string body, bool& done) {
    const std::string request =
        concat("POST ", path, " HTTP/1.1\r\nHost: x\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    unsigned status = 0;
    std::string text;
    co_await ask(gateways_[static_cast<std::size_t>(number)].admin, request, status, text);
    done = status == 200;
}
// A restart forgets a ban: its gateway is left alone by others meanwhile.
Task Soak::operator_ban(int number, int host, Span length) {
    const std::string uid = list_.hosts()[static_cast<std::size_t>(host)].uid;
    bool done = false;
    co_await operator_call(number, "/maintenance/enter", uid, done);
    if (!done) co_return;
    oracle_.banned(number, host, Clock::now());
    co_await pause(io_, length);
    oracle_.banned(number, host, std::nullopt);
    co_await operator_call(number, "/maintenance/exit", uid, done);
}
Task Soak::operator_standby(int number, Span length) {
    bool done = false;
    co_await operator_call(number, "/standby", "", done);
    if (!done) co_return;
    co_await pause(io_, listener_stays);
    front_.admitted[static_cast<std::size_t>(number)] = false;
    co_await pause(io_, length);
    co_await operator_call(number, "/active", "", done);
    co_await await_health(number);
}

Task Soak::with_agent(int gateway, bool AgentFaults::*fault, Span length) {
    AgentFaults& faults = gateways_[static_cast<std::size_t>(gateway)].agent->faults;
    faults.*fault = true;
    co_await pause(io_, length);
    faults.*fault = false;
}
Task Soak::short_io(int gateway, Span length) {
    ShimControl& control = **gateways_[static_cast<std::size_t>(gateway)].control;
    control.short_reads = often;
    co_await with_shim(gateway, &ShimControl::short_writes, often, length);
    control.short_reads = 0;
}

// Two troubles that would undo each other's state at one place are no crossing of events: the second one is
// left out.
Task Soak::play_trouble(Trouble t) {
    co_await pause(io_, t.at);
    Gateway& gateway = gateways_[static_cast<std::size_t>(t.gateway)];
    const auto host = static_cast<std::size_t>(t.host);
    const bool changes_gateway = t.kind <= TroubleKind::gateway_pause || t.kind >= TroubleKind::operator_ban;
    const bool changes_host = t.kind >= TroubleKind::host_drain && t.kind <= TroubleKind::host_drops_idle;
    if ((changes_gateway && gateway.changing) || (changes_host && host_busy_[host])) co_return;
    if (changes_gateway) gateway.changing = true;
    if (changes_host) host_busy_[host] = true;
    if (options_.verbose) std::printf("%s\n", describe(t).c_str());
    co_await carry_out(t);
    if (changes_gateway) gateway.changing = false;
    if (changes_host) host_busy_[host] = false;
}

Task Soak::carry_out(Trouble t) {
    switch (t.kind) {
        case TroubleKind::gateway_restart:
            co_await restart(t.gateway);
            break;
        case TroubleKind::gateway_kill:
            co_await kill(t.gateway, t.length / 4);
            break;
        case TroubleKind::gateway_reload:
            co_await reload(t.gateway);
            break;
        case TroubleKind::gateway_bad_file:
            co_await bad_file(t.gateway, t.chance);
            break;
        case TroubleKind::gateway_upgrade:
            co_await upgrade(t.gateway);
            break;
        case TroubleKind::gateway_pause:
            co_await pause_process(t.gateway, Span(static_cast<std::int64_t>(50 + t.chance % 100)));
            break;
        case TroubleKind::host_drain:
            co_await host_out(t.host, HostState::draining, t.length);
            break;
        case TroubleKind::host_remove:
            co_await host_out(t.host, HostState::gone, t.length);
            break;
        case TroubleKind::host_restart:
            co_await host_restart(t.host, t.length / 3);
            break;
        case TroubleKind::host_hang:
            co_await host_mode(t.host, HostMode::hangs, t.length);
            break;
        case TroubleKind::host_reset:
            co_await host_mode(t.host, HostMode::resets, t.length);
            break;
        case TroubleKind::host_errors:
            co_await host_mode(t.host, HostMode::errors, t.length);
            break;
        case TroubleKind::host_spoilt:
            co_await host_mode(t.host, HostMode::spoils, t.length);
            break;
        case TroubleKind::host_slow:
            co_await host_mode(t.host, HostMode::slow, t.length);
            break;
        case TroubleKind::host_drops_idle:
            hosts_[static_cast<std::size_t>(t.host)]->drop_idle(t.chance % 2 == 0);
            break;
        case TroubleKind::link_silent:
            co_await link_silent(t.gateway, t.host, t.length);
            break;
        case TroubleKind::link_reset:
            proxy_->reset_connections(t.gateway, t.host);
            break;
        case TroubleKind::link_late:
            co_await link_late(t.gateway, t.host, Span(static_cast<std::int64_t>(t.chance % 1000)), t.length);
            break;
        case TroubleKind::discovery_silent:
            co_await discovery_silent(t.gateway, t.length);
            break;
        case TroubleKind::discovery_refuses:
            // An agent that has pushed lists at hand turns nobody away.
            if (!pushed_) co_await with_agent(t.gateway, &AgentFaults::refuses, t.length);
            break;
        case TroubleKind::discovery_slow:
            co_await with_agent(t.gateway, &AgentFaults::slow, t.length);
            break;
        case TroubleKind::discovery_whole:
            co_await with_agent(t.gateway, &AgentFaults::whole_lists, t.length);
            break;
        case TroubleKind::wall_clock_step:
            co_await wall_clock_step(t.gateway, t.chance % 2 == 0 ? an_hour : -an_hour, t.length);
            break;
        case TroubleKind::short_io:
            co_await short_io(t.gateway, t.length);
            break;
        case TroubleKind::interrupted_waits:
            co_await with_shim(t.gateway, &ShimControl::interrupted_waits, often, t.length);
            break;
        case TroubleKind::failing_accepts:
            co_await with_shim(t.gateway, &ShimControl::failing_accepts, often, t.length);
            break;
        case TroubleKind::failing_connects:
            co_await with_shim(t.gateway, &ShimControl::failing_connects, seldom, t.length);
            break;
        case TroubleKind::failing_files:
            co_await with_shim(t.gateway, &ShimControl::failing_files, often, t.length);
            break;
        case TroubleKind::hanging_connects:
            co_await with_shim(t.gateway, &ShimControl::hanging_connects, often, t.length);
            break;
        case TroubleKind::peers_cut:
            co_await with_shim(t.gateway, &ShimControl::lost_datagrams, always, t.length);
            break;
        case TroubleKind::lost_datagrams:
            co_await with_shim(t.gateway, &ShimControl::lost_datagrams, often, t.length);
            break;
        case TroubleKind::bad_clients:
            co_await bad_clients(t.gateway, t.chance);
            break;
        case TroubleKind::clients_leave:
            co_await clients_leave(t.length);
            break;
        case TroubleKind::operator_ban:
            co_await operator_ban(t.gateway, t.host, t.length);
            break;
        case TroubleKind::operator_standby:
            co_await operator_standby(t.gateway, t.length);
            break;
    }
}

// ---- the run ----

Task Soak::watch_lateness() {
    while (!ending_) {
        const Time due = Clock::now() + look_again;
        co_await pause(io_, look_again);
        worst_lateness_ = std::max(worst_lateness_, std::chrono::duration_cast<Span>(Clock::now() - due));
    }
}
Task Soak::watch_processes() {
    while (!ending_) {
        co_await pause(io_, look_again);
        for (int number = 0; number < options_.shape.gateways; ++number) {
            Gateway& gateway = gateways_[static_cast<std::size_t>(number)];
            if (gateway.changing || !gateway.process->ended()) continue;
            gateway.changing = true;  // for good: it is told once
            front_.admitted[static_cast<std::size_t>(number)] = false;
            oracle_.gateway_ended(number, Clock::now(), false);
        }
    }
}

Task Soak::play() {
    for (int number = 0; number < options_.shape.gateways; ++number)
        start_process(number, gateways_[static_cast<std::size_t>(number)].admin);
    for (int number = 0; number < options_.shape.gateways; ++number) co_await await_ready(number);
    origin_ = Clock::now();
    for (const auto& client : clients_) asio::co_spawn(io_, client->run(), asio::detached);
    asio::co_spawn(io_, watch_lateness(), asio::detached);
    asio::co_spawn(io_, watch_processes(), asio::detached);
    for (const Trouble& trouble : plan_) asio::co_spawn(io_, play_trouble(trouble), asio::detached);
    co_await pause(io_, options_.shape.length);
    mood_.over = true;
    co_await pause(io_, answers_due + options_.slack);
    co_await end_all();
    io_.stop();
}

Task Soak::end_all() {
    ending_ = true;
    unsigned status = 0;
    std::string body;
    for (Gateway& gateway : gateways_) {
        if (gateway.process->ended()) continue;
        co_await ask(gateway.admin, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", status, body);
        if (faults_told(body, options_.slack) != 0)
            oracle_.violate(Rule::own_guard, "", concat("its metrics (", status, "): ", body), Clock::now());
        gateway.process->signal(SIGTERM);
    }
    const Time give_up = Clock::now() + terms.longest_deadline + kill_after_longest + 1s + options_.slack;
    for (int number = 0; number < options_.shape.gateways; ++number) {
        GatewayProcess& process = *gateways_[static_cast<std::size_t>(number)].process;
        while (!process.ended() && Clock::now() < give_up) co_await pause(io_, look_again);
        if (!process.ended() || process.status() != 0)
            oracle_.violate(Rule::crash, "", concat("gateway ", number, " did not end in good order"),
                            Clock::now());
    }
}

void Soak::run() {
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](error_code stopped, int) {
        if (stopped) return;
        interrupted_ = true;
        io_.stop();
    });
    asio::co_spawn(io_, play(), asio::detached);
    io_.run();
    if (interrupted_) return;
    oracle_.finish();
    read_logs();
}

// Whatever a gateway logs as an error is a fault of its own, but for a configuration that could not be read.
void Soak::read_logs() {
    for (const Gateway& gateway : gateways_)
        for (const auto& log : gateway.logs) {
            std::ifstream file(log);
            for (std::string line; std::getline(file, line);) {
                const bool error = line.find("level=error") != std::string::npos;
                if (error && line.find("event=configuration_kept") == std::string::npos)
                    oracle_.violate(Rule::own_guard, "", log.string() + ": " + line, Clock::now());
            }
        }
}

std::string Soak::plan_text() const {
    std::string text;
    for (const Trouble& trouble : plan_) text.append(describe(trouble)).append("\n");
    return text;
}

std::string Soak::trace_of(const Violation& violation) const {
    if (violation.trace.empty()) return {};
    std::string text = oracle_.story(violation.trace, origin_);
    for (const Gateway& gateway : gateways_)
        for (const auto& log : gateway.logs) {
            std::ifstream file(log);
            for (std::string line; std::getline(file, line);)
                if (line.find("trace=" + violation.trace) != std::string::npos)
                    text.append("    ")
                        .append(log.parent_path().filename().string())
                        .append(": ")
                        .append(line)
                        .append("\n");
        }
    return text;
}

}  // namespace fault_soak

#include "gateway_run.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utility>
// Boost 1.74 needs it first.
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "report.h"

namespace gateway::scale {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr int zones = 15, hosts_in_a_cell = 8;
constexpr double bytes_in_a_megabyte = 1e6;
constexpr double changed_hosts_apart = 7919;  // a prime: the changed hosts lie all over the list

std::string target_json(int host, const char* state) {
    char text[256];
    std::snprintf(
        text, sizeof text,
        R"({"uid":"s-%07d","endpoint":"127.0.0.1:9","az":"zone-%d","model":"std-2c","pod_group":%d,)"
        R"("state":"%s","capacity_hint":1,"boot_ms":0})",
        host, host % zones, host / hosts_in_a_cell, state);
    return text;
}

// Discovery's agent, after the protocol page: a whole list, then one changed host for each call that waits.
class DiscoveryStandIn {
  public:
    DiscoveryStandIn(asio::io_context& io, int hosts, double changes_per_s)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          timer_(io),
          period_(std::chrono::microseconds(static_cast<std::int64_t>(1e6 / changes_per_s))),
          hosts_(hosts),
          whole_list_(complete_list()) {
        accept();
    }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int changes_told() const { return changes_told_; }
    double bytes_told() const { return bytes_told_; }

  private:
    struct Session {
        explicit Session(tcp::socket&& s) : socket(std::move(s)) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::empty_body> call;
        http::response<http::string_body> answer;
    };
    void accept() {
        acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
            if (failed) return;
            read(std::make_shared<Session>(std::move(socket)));
            accept();
        });
    }
    void read(std::shared_ptr<Session> session) {
        session->call = {};
        http::async_read(session->socket, session->buffer, session->call,
                         [this, session](error_code failed, std::size_t) {
                             if (failed) return;
                             if (session->call.target().find("from=") == std::string_view::npos)
                                 return say(session, whole_list_);
                             timer_.expires_after(period_);
                             timer_.async_wait([this, session](error_code stopped) {
                                 if (!stopped) say(session, one_change());
                             });
                         });
    }
    void say(const std::shared_ptr<Session>& session, std::string body) {
        session->answer = {};
        session->answer.result(http::status::ok);
        session->answer.version(11);
        session->answer.body() = std::move(body);
        session->answer.prepare_payload();
        bytes_told_ += static_cast<double>(session->answer.body().size());
        http::async_write(session->socket, session->answer, [this, session](error_code failed, std::size_t) {
            if (!failed) read(session);
        });
    }
    std::string complete_list() const {
        std::string list = R"({"rev":)" + std::to_string(version_) + R"(,"all":true,"targets":[)";
        for (int host = 0; host < hosts_; ++host) {
            if (host > 0) list += ',';
            list += target_json(host, "ready");
        }
        return list + "]}";
    }
    std::string one_change() {
        ++version_;
        ++changes_told_;
        const int pair = (version_ / 2) * static_cast<int>(changed_hosts_apart) % hosts_;
        return R"({"rev":)" + std::to_string(version_) + R"(,"all":false,"targets":[)" +
               target_json(pair, version_ % 2 == 0 ? "draining" : "ready") + "]}";
    }

    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::chrono::microseconds period_;
    int hosts_, version_ = 1, changes_told_ = 0;
    double bytes_told_ = 0;
    std::string whole_list_;  // of version 1
};

// The program with a configuration of its own in a folder of its own; ended with this.
class GatewayProcess {
  public:
    GatewayProcess(const std::string& program, std::uint16_t discovery_port) {
        std::string folder = "/tmp/scale-XXXXXX";
        if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder for the configuration");
        file_ = folder + "/config.json";
        folder_ = folder;
        std::ofstream(file_)
            << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discovery_port
            << R"(","settings":{"rank":0,"instances":1,"locality":"zone-0","tickUs":2000,)"
               R"("tiersOfService":[],"familyInfo":{"unitsTop":6},"requestClasses":[{"name":)"
               R"("lookup","effect":"retryable","deadlineUs":600000,"value":1}],"ceilings":)"
               R"({"maxAttempts":3},"guarantees":{"startCapacity":0.2,"coldUs":10000000,)"
               R"("fallUs":1000000}}})";
        std::string name = program, where = "BALANCER_CONFIG=" + file_;
        char* const arguments[] = {name.data(), nullptr};
        char* const environment[] = {where.data(), nullptr};
        if (::posix_spawn(&id_, program.c_str(), nullptr, nullptr, arguments, environment) != 0)
            throw std::runtime_error("can't start '" + program + "'");
    }
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;
    ~GatewayProcess() {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        std::remove(file_.c_str());
        ::rmdir(folder_.c_str());
    }
    // User and system time so far.
    double cpu_seconds() const {
        std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
        std::string line;
        if (!std::getline(stat, line)) throw std::runtime_error("the gateway has ended");
        std::istringstream rest(line.substr(line.rfind(')') + 2));
        std::vector<std::string> fields;
        for (std::string field; rest >> field;) fields.push_back(field);
        constexpr std::size_t user = 11, system = 12;
        const auto ticks = std::stod(fields.at(user)) + std::stod(fields.at(system));
        return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    // Resident now, and the most so far.
    double memory_mb(const std::string& key) const {
        std::ifstream status("/proc/" + std::to_string(id_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind(key, 0) == 0)
                return std::stod(line.substr(key.size())) * 1024 / bytes_in_a_megabyte;
        throw std::runtime_error("the gateway has ended");
    }

  private:
    std::string folder_, file_;
    pid_t id_ = -1;
};

void measure(const GatewayRun& run, int hosts) {
    asio::io_context io;
    DiscoveryStandIn discovery(io, hosts, run.changes_per_s);
    GatewayProcess gateway(run.program, discovery.port());
    const auto run_for = [&](double seconds) {
        io.run_for(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1e3)));
    };
    run_for(run.settle_seconds);
    const double cpu_before = gateway.cpu_seconds(), bytes_before = discovery.bytes_told();
    const int changes_before = discovery.changes_told();
    run_for(run.seconds);
    const double core_percent = (gateway.cpu_seconds() - cpu_before) / run.seconds * 100;
    const int changes = discovery.changes_told() - changes_before;
    print({"gateway",
           {{"hosts", hosts}, {"changes_per_s", run.changes_per_s}},
           {{"changes", changes},
            {"list_mb", bytes_before / bytes_in_a_megabyte},
            {"bytes_per_s", (discovery.bytes_told() - bytes_before) / run.seconds},
            {"core_percent", core_percent},
            {"memory_mb", gateway.memory_mb("VmRSS:")},
            {"most_memory_mb", gateway.memory_mb("VmHWM:")}},
           {}},
          0);
}
}  // namespace

void run(const GatewayRun& run) {
    for (const int hosts : run.hosts) measure(run, hosts);
}

}  // namespace gateway::scale

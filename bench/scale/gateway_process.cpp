#include "gateway_process.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace gateway::scale {
namespace {

constexpr double bytes_per_kilobyte = 1024;  // as /proc counts
constexpr double bytes_per_megabyte = 1e6;
// Positions in /proc/PID/stat, counted from the field behind the program's name.
constexpr std::size_t user_time_field = 11;
constexpr std::size_t system_time_field = 12;

}  // namespace

GatewayProcess::GatewayProcess(const std::string& program, std::uint16_t discovery_port) {
    write_config(discovery_port);
    std::string name = program;
    std::string config_variable = "BALANCER_CONFIG=" + config_;
    char* const arguments[] = {name.data(), nullptr};
    char* const environment[] = {config_variable.data(), nullptr};
    if (::posix_spawn(&id_, program.c_str(), nullptr, nullptr, arguments, environment) != 0)
        throw std::runtime_error("can't start '" + program + "'");
}

GatewayProcess::~GatewayProcess() {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    std::remove(config_.c_str());
    ::rmdir(folder_.c_str());
}

void GatewayProcess::write_config(std::uint16_t discovery_port) {
    std::string folder = "/tmp/scale-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder for the configuration");
    folder_ = folder;
    config_ = folder + "/config.json";
    std::ofstream(config_) << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)"
                           << discovery_port
                           << R"(","settings":{"rank":0,"instances":1,"locality":"zone-0","tickUs":2000,)"
                              R"("tiersOfService":[],"familyInfo":{"unitsTop":6},"requestClasses":[{"name":)"
                              R"("lookup","effect":"retryable","deadlineUs":600000,"value":1}],"ceilings":)"
                              R"({"maxAttempts":3},"guarantees":{"startCapacity":0.2,"coldUs":10000000,)"
                              R"("fallUs":1000000}}})";
}

double GatewayProcess::cpu_seconds() const {
    std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
    std::string line;
    if (!std::getline(stat, line)) throw std::runtime_error("the gateway has ended");
    // The program's name, in parentheses, may contain blanks.
    std::istringstream behind_name(line.substr(line.rfind(')') + 2));
    std::vector<std::string> fields;
    for (std::string field; behind_name >> field;) fields.push_back(field);
    const double ticks = std::stod(fields.at(user_time_field)) + std::stod(fields.at(system_time_field));
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double GatewayProcess::status_mb(const std::string& key) const {
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind(key, 0) == 0)
            return std::stod(line.substr(key.size())) * bytes_per_kilobyte / bytes_per_megabyte;
    throw std::runtime_error("the gateway has ended");
}

}  // namespace gateway::scale

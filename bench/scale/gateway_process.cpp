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

// /proc reports memory in units of 1024 bytes, which it calls kB.
constexpr double bytes_per_kilobyte = 1024;
constexpr double bytes_per_megabyte = 1e6;
// Zero-based positions in /proc/PID/stat, counted from the field after the program's name.
constexpr std::size_t user_time_field = 11;
constexpr std::size_t system_time_field = 12;

}  // namespace

GatewayProcess::GatewayProcess(const std::string& program, std::uint16_t discovery_port) {
    write_config(discovery_port);
    std::string name = program;
    std::string config_variable = "BALANCER_CONFIG=" + config_path_;
    char* const arguments[] = {name.data(), nullptr};
    char* const environment[] = {config_variable.data(), nullptr};
    if (::posix_spawn(&process_id_, program.c_str(), nullptr, nullptr, arguments, environment) != 0)
        throw std::runtime_error("cannot start the gateway program '" + program + "'");
}

GatewayProcess::~GatewayProcess() {
    ::kill(process_id_, SIGKILL);
    ::waitpid(process_id_, nullptr, 0);
    std::remove(config_path_.c_str());
    ::rmdir(folder_.c_str());
}

void GatewayProcess::write_config(std::uint16_t discovery_port) {
    std::string folder = "/tmp/scale-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder for the gateway's configuration");
    folder_ = folder;
    config_path_ = folder + "/config.json";
    std::ofstream(config_path_)
        << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discovery_port
        << R"(","settings":{"rank":0,"instances":1,"locality":"zone-0","tickUs":2000,)"
           R"("tiersOfService":[],"familyInfo":{"unitsTop":6},"requestClasses":[{"name":)"
           R"("lookup","effect":"retryable","deadlineUs":600000,"value":1}],"ceilings":)"
           R"({"maxAttempts":3},"guarantees":{"startCapacity":0.2,"coldUs":10000000,)"
           R"("fallUs":1000000}}})";
}

double GatewayProcess::cpu_seconds() const {
    std::ifstream stat("/proc/" + std::to_string(process_id_) + "/stat");
    std::string line;
    if (!std::getline(stat, line))
        throw std::runtime_error("cannot read the processor time: the gateway process has ended");
    // The program's name, in parentheses, may contain blanks.
    std::istringstream after_name(line.substr(line.rfind(')') + 2));
    std::vector<std::string> fields;
    for (std::string field; after_name >> field;) fields.push_back(field);
    const double ticks = std::stod(fields.at(user_time_field)) + std::stod(fields.at(system_time_field));
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double GatewayProcess::status_mb(const std::string& key) const {
    std::ifstream status("/proc/" + std::to_string(process_id_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind(key, 0) == 0)
            return std::stod(line.substr(key.size())) * bytes_per_kilobyte / bytes_per_megabyte;
    throw std::runtime_error("cannot read the memory usage: the gateway process has ended");
}

}  // namespace gateway::scale

// A real gateway as a process, and what it uses of the machine.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace gateway::scale {

// Runs the program with a configuration of its own in a temporary folder; both end with this object.
class GatewayProcess {
  public:
    // `discovery_port`: of the agent on loopback. Throws std::runtime_error where the program cannot be
    // started.
    GatewayProcess(const std::string& program, std::uint16_t discovery_port);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // The functions below throw std::runtime_error where the process has ended.

    // User and system time so far.
    [[nodiscard]] double cpu_seconds() const;
    // Resident memory now and at most so far, in megabytes.
    [[nodiscard]] double memory_mb() const { return status_mb("VmRSS:"); }
    [[nodiscard]] double peak_memory_mb() const { return status_mb("VmHWM:"); }

  private:
    void write_config(std::uint16_t discovery_port);
    // The value of a line of /proc/PID/status that is given in kB.
    [[nodiscard]] double status_mb(const std::string& key) const;

    std::string folder_;
    std::string config_;
    pid_t id_ = -1;
};

}  // namespace gateway::scale

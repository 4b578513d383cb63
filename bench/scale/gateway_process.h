// Runs a real gateway as a child process and reads its processor time and memory from /proc.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace gateway::scale {

// Starts the gateway program with a configuration file in a new temporary folder. The destructor kills the
// process and deletes the folder.
class GatewayProcess {
  public:
    // `discovery_port` is the loopback port of the discovery agent. Throws std::runtime_error if the program
    // cannot be started.
    GatewayProcess(const std::string& program, std::uint16_t discovery_port);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // The functions below throw std::runtime_error if the process has ended.

    // Returns the user and system time that the process has used so far, in seconds.
    [[nodiscard]] double cpu_seconds() const;
    // Returns the current resident memory, in megabytes (10^6 bytes).
    [[nodiscard]] double memory_mb() const { return status_mb("VmRSS:"); }
    // Returns the peak resident memory, in megabytes (10^6 bytes).
    [[nodiscard]] double peak_memory_mb() const { return status_mb("VmHWM:"); }

  private:
    void write_config(std::uint16_t discovery_port);
    // Returns the value of the field `key` of /proc/PID/status, converted from kB to megabytes.
    [[nodiscard]] double status_mb(const std::string& key) const;

    std::string folder_;
    std::string config_path_;
    pid_t process_id_ = -1;
};

}  // namespace gateway::scale

// One process of a gateway.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>

namespace fault_soak {

// What a gateway process is started with.
struct GatewayProcessOptions {
    std::filesystem::path program;
    std::filesystem::path shim;    // a library to preload; empty: none
    std::filesystem::path folder;  // the gateway's own: control file, logs and temporary files
    std::filesystem::path config;
    int number = 0;  // among the processes of its gateway; names the log
    std::uint64_t shim_seed = 0;
};

class GatewayProcess {
  public:
    // Throws std::runtime_error where the program cannot be started.
    explicit GatewayProcess(const GatewayProcessOptions& options);
    // Kills the process where it still runs.
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // No effect once exited() has been true.
    void signal(int number) const;
    // Polls the process.
    [[nodiscard]] bool exited();
    // Of waitpid(), once exited() has been true: 0 for a graceful shutdown.
    [[nodiscard]] int wait_status() const noexcept { return wait_status_; }
    [[nodiscard]] const std::filesystem::path& log() const noexcept { return log_; }

  private:
    std::filesystem::path log_;
    pid_t id_ = -1;
    int wait_status_ = 0;
    bool exited_ = false;
};

}  // namespace fault_soak

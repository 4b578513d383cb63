// Starts, signals and monitors one gateway process.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>

namespace fault_soak {

// The parameters of a new gateway process.
struct GatewayProcessOptions {
    std::filesystem::path program;
    // Shim library to preload. Empty for none.
    std::filesystem::path shim;
    // Folder of this gateway with its control file, logs and temporary files.
    std::filesystem::path folder;
    std::filesystem::path config;
    // Number of the process among those of the same gateway; part of the name of the log file.
    int number = 0;
    std::uint64_t shim_seed = 0;
};

// A running gateway process, whose output goes to a log file.
class GatewayProcess {
  public:
    // Throws std::runtime_error if the program cannot be started.
    explicit GatewayProcess(const GatewayProcessOptions& options);
    // Kills the process if it still runs.
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // Sends a signal. Has no effect once exited() has returned true.
    void signal(int number) const;
    // Polls the process and returns whether it has exited.
    [[nodiscard]] bool exited();
    // Returns the status from waitpid() once exited() has returned true; 0 after a graceful shutdown.
    [[nodiscard]] int wait_status() const noexcept { return wait_status_; }
    [[nodiscard]] const std::filesystem::path& log() const noexcept { return log_; }

  private:
    std::filesystem::path log_;
    pid_t process_id_ = -1;
    int wait_status_ = 0;
    bool exited_ = false;
};

}  // namespace fault_soak

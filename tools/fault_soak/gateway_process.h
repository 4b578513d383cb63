// One gateway of the run: its addresses, its configuration and the process that runs it.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "net.h"
#include "shim_control.h"

namespace fault_soak {

// A file mapped for the shims of one gateway's processes.
class MappedControl {
  public:
    explicit MappedControl(const std::filesystem::path& file);
    ~MappedControl();
    MappedControl(const MappedControl&) = delete;
    MappedControl& operator=(const MappedControl&) = delete;
    ShimControl& operator*() const { return *control_; }
    ShimControl* operator->() const { return control_; }

  private:
    ShimControl* control_;
};

class GatewayProcess {
  public:
    struct Files {
        std::filesystem::path program, shim, folder;  // the folder is the gateway's own
    };

    GatewayProcess(const Files& files, const std::filesystem::path& config, int number, std::uint64_t seed);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void signal(int number) const;
    // Looks whether it has ended.
    bool ended();
    // 0 where it ended in good order.
    int status() const { return status_; }
    const std::filesystem::path& log() const { return log_; }

  private:
    std::filesystem::path log_;
    pid_t id_ = -1;
    int status_ = 0;
    bool ended_ = false;
};

// Ports of loopback that nobody listens on, apart from those that the system gives out. Another soak on the
// machine takes others.
class Ports {
  public:
    Ports();
    std::uint16_t take();

  private:
    std::uint16_t next_;
};

}  // namespace fault_soak

// Allocates loopback ports for the gateways of a run.
#pragma once

#include <cstdint>

namespace fault_soak {

// Allocates ports that no process is bound to, from below the ephemeral port range of the system. The range
// depends on the process id, so that soaks that run at the same time usually use different ranges.
class LoopbackPorts {
  public:
    LoopbackPorts();
    // Returns a port that is free for TCP and UDP. Throws std::runtime_error if the range has none.
    [[nodiscard]] std::uint16_t allocate();

  private:
    // The port that was checked last.
    std::uint16_t last_;
};

}  // namespace fault_soak

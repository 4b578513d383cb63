// Ports of loopback for the gateways of a run.
#pragma once

#include <cstdint>

namespace fault_soak {

// Gives out ports that nobody listens on, from below those that the system gives out itself. Soaks that run
// at the same time usually take theirs from other ranges.
class LoopbackPorts {
  public:
    LoopbackPorts();
    // A port that is free for TCP and UDP. Throws std::runtime_error where the range has none.
    [[nodiscard]] std::uint16_t take();

  private:
    std::uint16_t last_;
};

}  // namespace fault_soak

// Writes actions of the decision module as JSON lines for the simulator.
#pragma once

#include <cstdint>
#include <string>

#include "gateway/interface.h"

namespace gateway::simulator {

// Collects the lines of the reply to one batch of messages.
class ActionWriter {
  public:
    // Appends the line for one action of a gateway. SaveSnapshot is not expected: no event of the simulator
    // leads to it.
    void write(std::int64_t gateway_id, const decision::Action& action);
    // Appends the collected lines and the End line to `out`, and starts the next reply.
    void end_reply(std::string& out);

  private:
    std::string reply_;
};

}  // namespace gateway::simulator

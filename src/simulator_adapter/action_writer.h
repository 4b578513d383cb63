// Writes actions of the decision module as JSON lines of the simulator's wire.
#pragma once

#include <cstdint>
#include <string>

#include "gateway/interface.h"

namespace gateway::simulator {

// Collects the reply to one batch.
class ActionWriter {
  public:
    // Appends one line. SaveSnapshot has none: the simulator sends no event that leads to it.
    void write(std::int64_t gateway_id, const decision::Action& action);
    // Appends the collected lines and the line that ends a reply to `out`, and begins a new reply.
    void end_reply(std::string& out);

  private:
    std::string reply_;
};

}  // namespace gateway::simulator

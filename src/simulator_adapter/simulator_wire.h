// Implements the simulator's protocol: reads and writes JSON lines and runs one instance of the decision
// module for each gateway of the simulated fleet.
//
// A line is a JSON array of a message name and values. A batch begins with a Turn line, which sets the clock,
// and ends with an EofBatch line, which is answered with the actions of the batch. Unknown messages and
// surplus values are ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

namespace gateway::simulator {

// Reports a malformed line or invalid settings. The message contains the line number, the name of the value
// and what was expected.
class WireError : public std::runtime_error {
  public:
    WireError(std::uint64_t line_number, const std::string& cause);
    // The number of the line in the input, counted from 1.
    [[nodiscard]] std::uint64_t line_number() const noexcept { return line_number_; }

  private:
    std::uint64_t line_number_;
};

// The gateways' side of the simulator's protocol. Owns the instances of the decision module.
class SimulatorWire {
  public:
    SimulatorWire();
    ~SimulatorWire();

    // Processes one line of input. At the end of a batch, appends the complete reply to `reply` and returns
    // true. Throws WireError, after which no further line may be processed. The capacity of `line` may grow.
    bool process_line(std::string& line, std::string& reply);

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace gateway::simulator

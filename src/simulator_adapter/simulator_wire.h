// The simulator's wire: JSON lines in, JSON lines out, one instance of the decision module for each gateway
// of the simulated fleet.
//
// A line is an array of a message name and values. A batch begins with a Turn line, which sets the clock, and
// ends with an EofBatch line, which is answered with the actions of the batch. Message names and values
// that this version does not know are ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

namespace gateway::simulator {

// A line that cannot be read, or settings that cannot work. The message names the line, the value and what
// was expected of it.
class WireError : public std::runtime_error {
  public:
    WireError(std::uint64_t line_number, const std::string& cause);
    // Counted from 1, over all lines that the wire has taken.
    [[nodiscard]] std::uint64_t line_number() const noexcept { return line_number_; }

  private:
    std::uint64_t line_number_;
};

class SimulatorWire {
  public:
    SimulatorWire();
    ~SimulatorWire();

    // Takes one line of input. At the end of a batch appends the complete reply to `reply` and returns true.
    // Throws WireError, after which the wire takes no further lines. The capacity of `line` may grow.
    bool take_line(std::string& line, std::string& reply);

  private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace gateway::simulator

// A sum whose entries decay exponentially with their age.
#pragma once

#include <cmath>

#include "time_units.h"

namespace gateway::decision {

// Decays with a time constant ("memory") in seconds. The caller has to pass the same time constant to each
// call. The value divided by the time constant is a rate in units per second.
class DecayingCounter {
  public:
    [[nodiscard]] double value(Micros now, double memory_s) const {
        return amount_ * std::exp(-to_seconds(now - updated_at_) / memory_s);
    }
    void add(double amount, Micros now, double memory_s) {
        amount_ = value(now, memory_s) + amount;
        updated_at_ = now;
    }
    void serialize(auto& codec) { codec(amount_, updated_at_); }

  private:
    double amount_ = 0;
    Micros updated_at_{0};
};

}  // namespace gateway::decision

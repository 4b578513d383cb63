// A sum whose entries lose weight with their age.
#pragma once

#include <cmath>

#include "time_units.h"

namespace gateway::decision {

// Decays exponentially with a time constant ("memory") in seconds, which the caller passes to each call and
// keeps the same. Divided by the memory, the value reads as a rate in units a second.
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

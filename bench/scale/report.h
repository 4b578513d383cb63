// Prints the results of a scale run: JSON lines on standard output, a table for people on standard error.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "measure.h"

namespace gateway::scale {

// A result; its name ends with its unit.
struct NamedValue {
    std::string name;
    double value = 0;
};
struct NamedSummary {
    std::string name;
    Summary summary;
};

// One measured point of a sweep. Results are printed in their order.
struct Row {
    std::string sweep;
    std::vector<NamedValue> sizes;       // that the point was measured at
    std::vector<NamedValue> counts;      // of one run
    std::vector<NamedSummary> measured;  // over the repeats
};

void print(const Row& row, std::uint64_t seed);
// Prints the exponent with which a value grows with a size over the points of a sweep; nothing for fewer than
// two points.
void print_exponent(const std::string& sweep, const std::string& value, const std::string& size,
                    const std::vector<Point>& points);

}  // namespace gateway::scale

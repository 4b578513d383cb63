// Prints the results of a scale run: JSON lines on standard output and a human-readable table on standard
// error.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "measure.h"

namespace gateway::scale {

// A result and the name under which it is printed. The name ends with the unit.
struct NamedValue {
    std::string name;
    double value = 0;
};
struct NamedSummary {
    std::string name;
    Summary summary;
};

// The results at one point of a sweep. The fields are printed in the order of their declaration, and the
// elements of each field in their order in the vector.
struct Row {
    std::string sweep;
    // Sizes of the fleet at this point.
    std::vector<NamedValue> sizes;
    // Values of a single run.
    std::vector<NamedValue> single_run_values;
    // Minimum, median and maximum over the repeats.
    std::vector<NamedSummary> repeat_summaries;
};

// Prints one row on standard output and standard error.
void print(const Row& row, std::uint64_t seed);
// Prints the exponent with which `value` grows with `size` over the points of a sweep. Prints nothing for
// fewer than two points.
void print_exponent(const std::string& sweep, const std::string& value, const std::string& size,
                    const std::vector<Point>& points);

}  // namespace gateway::scale

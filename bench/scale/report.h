// The results of a scale run: JSON lines for machines on standard output, a table for people on standard
// error.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "measure.h"

namespace gateway::scale {

// One measured point: the sizes it was taken at and what was found there, each name with its unit.
struct Row {
    std::string sweep;
    std::vector<std::pair<std::string, double>> sizes;
    std::vector<std::pair<std::string, double>> counts;     // the same for the same seed
    std::vector<std::pair<std::string, Summary>> measured;  // over the repeats
};

void print(const Row& row, std::uint64_t seed);
// The exponent with which a value grows with a size over the points of a sweep.
void print_exponent(const std::string& sweep, const std::string& value, const std::string& size,
                    const std::vector<Point>& points);

}  // namespace gateway::scale

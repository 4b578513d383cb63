#include "report.h"

#include <cstdio>

namespace gateway::scale {

void print(const Row& row, std::uint64_t seed) {
    std::printf("{\"sweep\":\"%s\",\"seed\":%llu", row.sweep.c_str(), static_cast<unsigned long long>(seed));
    std::fprintf(stderr, "%-8s", row.sweep.c_str());
    for (const auto* values : {&row.sizes, &row.single_run_values})
        for (const auto& [name, value] : *values) {
            std::printf(",\"%s\":%.10g", name.c_str(), value);
            std::fprintf(stderr, "  %s=%.6g", name.c_str(), value);
        }
    for (const auto& [name, summary] : row.repeat_summaries) {
        std::printf(",\"%s\":{\"min\":%.6g,\"median\":%.6g,\"max\":%.6g}", name.c_str(), summary.minimum,
                    summary.median, summary.maximum);
        std::fprintf(stderr, "  %s=%.4g (%.4g..%.4g)", name.c_str(), summary.median, summary.minimum,
                     summary.maximum);
    }
    std::printf("}\n");
    std::fprintf(stderr, "\n");
    std::fflush(stdout);
}

void print_exponent(const std::string& sweep, const std::string& value, const std::string& size,
                    const std::vector<Point>& points) {
    if (points.size() < 2) return;
    const double exponent = fitted_exponent(points);
    std::printf("{\"sweep\":\"%s\",\"value\":\"%s\",\"size\":\"%s\",\"exponent\":%.3f,\"points\":%zu}\n",
                sweep.c_str(), value.c_str(), size.c_str(), exponent, points.size());
    std::fprintf(stderr, "%-8s  %s grows with %s^%.2f over %zu points\n", sweep.c_str(), value.c_str(),
                 size.c_str(), exponent, points.size());
}

}  // namespace gateway::scale

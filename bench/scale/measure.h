// Measuring functions of the scale run: processor time of the calling thread, heap usage, and statistics over
// repeats.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace gateway::scale {

// Returns the processor time that the calling thread has used, in seconds.
[[nodiscard]] double thread_cpu_seconds();
// Returns the number of heap bytes that the process has allocated and not freed.
[[nodiscard]] std::size_t heap_bytes();
// Runs `work` and returns the processor time that it used in the calling thread, in seconds.
[[nodiscard]] double cpu_seconds_of(const std::function<void()>& work);

struct Summary {
    double minimum = 0;
    double median = 0;
    double maximum = 0;
};
// Returns the minimum, median and maximum of `values`, which must not be empty.
[[nodiscard]] Summary summarize(const std::vector<double>& values);
// Returns the element at the position `share` of the sorted values, from 0 for the smallest to 1 for the
// largest. A position between two elements selects the larger one. `values` must not be empty.
[[nodiscard]] double quantile(std::vector<double> values, double share);

// A measured value at one size of the fleet.
struct Point {
    double size = 0;
    double value = 0;
};
// Returns the exponent e of value = c * size^e, fitted by least squares over the logarithms. Sizes and values
// must be above 0.
[[nodiscard]] double fitted_exponent(const std::vector<Point>& points);

}  // namespace gateway::scale

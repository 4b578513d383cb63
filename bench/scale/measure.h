// What the scale run measures with: processor time of this thread, bytes of the heap, and statistics of
// repeats.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace gateway::scale {

// Processor time that this thread has used, in seconds.
[[nodiscard]] double thread_cpu_seconds();
// Bytes that the process has allocated and not freed.
[[nodiscard]] std::size_t heap_bytes();
// Processor time of `work`, in seconds.
[[nodiscard]] double cpu_seconds_of(const std::function<void()>& work);

struct Summary {
    double minimum = 0;
    double median = 0;
    double maximum = 0;
};
// Of at least one value.
[[nodiscard]] Summary summarize(const std::vector<double>& values);
// The value that `share` of the values do not exceed; of at least one value.
[[nodiscard]] double quantile(std::vector<double> values, double share);

// A measured value at one size of the fleet.
struct Point {
    double size = 0;
    double value = 0;
};
// The exponent e of value = c * size^e, by least squares over the logarithms; sizes and values above 0.
[[nodiscard]] double fitted_exponent(const std::vector<Point>& points);

}  // namespace gateway::scale

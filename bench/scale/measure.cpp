#include "measure.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace gateway::scale {

double thread_cpu_seconds() {
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

std::size_t heap_bytes() {
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

double cpu_seconds_of(const std::function<void()>& work) {
    const double before = thread_cpu_seconds();
    work();
    return thread_cpu_seconds() - before;
}

double quantile(std::vector<double> values, double share) {
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(share * last))];
}

Summary summarize(const std::vector<double>& values) {
    return {quantile(values, 0), quantile(values, 0.5), quantile(values, 1)};
}

// The exponent is the slope of the regression line through the logarithms of sizes and values.
double fitted_exponent(const std::vector<Point>& points) {
    double sum_size = 0;
    double sum_value = 0;
    double sum_size_squared = 0;
    double sum_product = 0;
    for (const Point& point : points) {
        const double log_size = std::log(point.size);
        const double log_value = std::log(point.value);
        sum_size += log_size;
        sum_value += log_value;
        sum_size_squared += log_size * log_size;
        sum_product += log_size * log_value;
    }
    const auto count = static_cast<double>(points.size());
    return (count * sum_product - sum_size * sum_value) / (count * sum_size_squared - sum_size * sum_size);
}

}  // namespace gateway::scale

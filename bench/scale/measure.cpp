#include "measure.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>

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

Summary summarize(std::vector<double> values) {
    return {quantile(values, 0), quantile(values, 0.5), quantile(values, 1)};
}

double fitted_exponent(const std::vector<Point>& points) {
    double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
    for (const Point& point : points) {
        const double x = std::log(point.size), y = std::log(point.value);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    const auto count = static_cast<double>(points.size());
    return (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
}

}  // namespace gateway::scale

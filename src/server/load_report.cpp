#include "load_report.h"

#include <algorithm>
#include <charconv>

namespace gateway::server {
namespace {
// The largest plausible value of a field. A larger or a negative value is a fault of the host, and would
// distort host selection for as long as the report is in use.
constexpr double max_reported_value = 1e5;
}  // namespace

decision::LoadReport read_load_report(std::string_view text) {
    decision::LoadReport report;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos) continue;
        std::string_view name = field.substr(0, equals);
        if (const std::size_t space = name.find_last_of(" \t\r\n"); space != std::string_view::npos)
            name.remove_prefix(space + 1);
        double value = 0;
        const std::string_view number = field.substr(equals + 1);
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
        if (parsed.ec != std::errc() || !(value >= 0 && value <= max_reported_value)) continue;
        // Accepts both the names in the settings, which the simulator uses too, and the names in the example
        // of the protocol. If the queue length of a host were not recognised, the host would look idle.
        if (name == "backlog" || name == "queue") report.queued = value;
        else if (name == "outstanding" || name == "inflight") report.outstanding = value;
        else if (name == "utilization" || name == "util") report.utilization = value;
    }
    return report;
}

}  // namespace gateway::server

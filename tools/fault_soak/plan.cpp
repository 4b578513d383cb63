#include "plan.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace fault_soak {
namespace {
constexpr Span first_trouble = 1500ms, calm_end = 5000ms;
constexpr Span least_length = 300ms, most_length = 3000ms, most_pause_between = 900ms;

constexpr std::array<const char*, trouble_kinds> kind_names{
    "gateway_restart", "gateway_kill",     "gateway_reload",  "gateway_bad_file", "gateway_upgrade",
    "gateway_pause",   "host_drain",       "host_remove",     "host_restart",     "host_hang",
    "host_reset",      "host_errors",      "host_spoilt",     "host_slow",        "host_drops_idle",
    "link_silent",     "link_reset",       "link_late",       "discovery_silent", "discovery_refuses",
    "discovery_slow",  "discovery_whole",  "wall_clock_step", "short_io",         "interrupted_waits",
    "failing_accepts", "failing_connects", "failing_files",   "hanging_connects", "lost_datagrams",
    "peers_cut",       "bad_clients",      "clients_leave",   "operator_ban",     "operator_standby"};

Span between(Random& random, Span least, Span most) {
    return least +
           Span(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>((most - least).count() + 1)));
}
}  // namespace

const char* name_of(TroubleKind kind) { return kind_names[static_cast<std::size_t>(kind)]; }

std::vector<Trouble> draw_plan(const PlanShape& shape) {
    Random random(shape.seed);
    std::vector<Trouble> plan;
    std::vector<Span> ends;
    for (Span at = first_trouble; at < shape.length - calm_end;
         at += between(random, 0ms, most_pause_between)) {
        std::erase_if(ends, [at](Span end) { return end <= at; });
        if (static_cast<int>(ends.size()) >= shape.at_once) continue;
        Trouble trouble;
        trouble.kind = static_cast<TroubleKind>(random() % trouble_kinds);
        trouble.at = at;
        trouble.length = between(random, least_length, most_length);
        trouble.gateway = static_cast<int>(random() % static_cast<std::uint64_t>(shape.gateways));
        trouble.host = static_cast<int>(random() % static_cast<std::uint64_t>(shape.hosts));
        trouble.chance = random();
        // Events that cross do so at one place.
        if (!plan.empty() && random() % 2 == 0) {
            trouble.gateway = plan.back().gateway;
            trouble.host = plan.back().host;
        }
        ends.push_back(at + trouble.length);
        plan.push_back(trouble);
    }
    return plan;
}

std::string describe(const Trouble& trouble) {
    char text[160];
    std::snprintf(text, sizeof text, "%7.3f s %-18s for %5.3f s gateway %d host %d", seconds(trouble.at),
                  name_of(trouble.kind), seconds(trouble.length), trouble.gateway, trouble.host);
    return text;
}

}  // namespace fault_soak

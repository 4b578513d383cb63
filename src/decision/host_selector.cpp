#include "host_selector.h"

#include <algorithm>
#include <utility>

namespace gateway::decision {
namespace {
// The most available hosts that are compared for one request.
constexpr std::size_t max_considered_hosts = 12;
// Each cost is multiplied by a random factor, which breaks ties. The factor lies between `min_cost_noise` and
// `min_cost_noise + cost_noise_range`.
constexpr double min_cost_noise = 0.95;
constexpr double cost_noise_range = 0.1;
// Factor on `Settings::cross_zone_cost`.
constexpr double cross_zone_factor = 5;
// Factor on the cost of the host that got the request's last attempt.
constexpr double same_host_factor = 4;
// Lower bound of a host's weight in its cost.
constexpr double min_weight = 1e-3;
}  // namespace

bool HostSelector::rules_allow(const Host& host, const Request& request) const {
    const auto class_index = static_cast<std::size_t>(request.arrival.request_class);
    const RequestClass& request_class = context_.settings().classes[class_index];
    const HostLocation location{host.entry.zone, host.entry.cell};
    return rules_.check_send(request_class, request.history, location, context_.now()) ==
           SendVerdict::allowed;
}

bool HostSelector::is_available(const Host& host, const Request& request) const {
    if (!host.usable() || outliers_.is_ejected(host) || !rules_allow(host, request)) return false;
    return !load_.is_known(host) || load_.outstanding(host) < load_.limit(host);
}

bool HostSelector::has_capacity(const Host& host) const {
    if (!host.usable() || outliers_.is_ejected(host)) return false;
    const bool fresh = load_.has_fresh_report(host);
    if (!fresh && !load_.is_known(host)) return false;
    const bool reports_idle = fresh && host.load.idle && !host.load.reports_outstanding;
    return reports_idle || load_.outstanding(host) < load_.limit(host);
}

double HostSelector::cost(const Host& host) const {
    const double capacity = std::max(host.entry.weight, min_weight) * slow_start_.capacity_share(host);
    return (load_.outstanding(host) + 1) * load_.blended_response_s(host) / capacity;
}

double HostSelector::cost(const Host& host, const Request& request) {
    double request_cost = cost(host) * (min_cost_noise + cost_noise_range * context_.uniform());
    if (host.entry.zone != context_.settings().zone)
        request_cost *= 1 + cross_zone_factor * context_.settings().cross_zone_cost;
    if (host.entry.host == request.last_host) request_cost *= same_host_factor;
    return request_cost * outliers_.cost_factor(host, request.traffic_class);
}

std::vector<Host*> HostSelector::select(const Request& request) {
    std::pair<double, Host*> best{0, nullptr};
    std::pair<double, Host*> second{0, nullptr};
    std::size_t considered = 0;
    HostOrder<Host>& order = hosts_.order();
    auto behind_front = order.behind_front();
    for (std::size_t i = 0; i < order.size() && considered < max_considered_hosts; ++i) {
        const bool in_front = i < order.front_size();
        if (in_front) order.swap_in_front(i, i + context_.random_bits() % (order.front_size() - i));
        Host& host = in_front ? order.front(i) : **behind_front++;
        if (!is_available(host, request)) continue;
        ++considered;
        if (slow_start_.restricts(host)) {
            if (slow_start_.admits(host, request.arrival.units)) return {&host};
            continue;
        }
        const double request_cost = cost(host, request);
        if (!best.second || request_cost < best.first) {
            second = best;
            best = {request_cost, &host};
        } else if (!second.second || request_cost < second.first) {
            second = {request_cost, &host};
        }
    }
    std::vector<Host*> candidates{best.second, second.second};
    std::erase(candidates, nullptr);
    return candidates;
}

Host* HostSelector::best_candidate(const Request& request) const {
    Host* best = nullptr;
    for (Host* const host : request.candidates) {
        if (!has_capacity(*host) || !rules_allow(*host, request)) continue;
        if (!best || cost(*host) < cost(*best)) best = host;
    }
    return best;
}

}  // namespace gateway::decision

// Slow start: limits the requests to a host that has started recently.
#pragma once

#include <cstddef>
#include <set>

#include "context.h"
#include "host.h"

namespace gateway::decision {

// Counts the usable hosts that are warm and sums the units sent to them. A warming host then gets the even
// share of a warm host, scaled down to the capacity that it certainly has. Keeps pointers to hosts: `remove`
// must be called before a host is destroyed.
class SlowStart {
  public:
    explicit SlowStart(Context& context) : context_(context) {}

    // Share of its full capacity that the host has now. The share grows linearly from the host's start to 1.
    [[nodiscard]] double capacity_share(const Host& host) const;
    // Whether the host is still warming up and there are warm hosts that could serve instead.
    [[nodiscard]] bool restricts(const Host& host) const {
        return capacity_share(host) < 1 && warm_count_ > 0;
    }
    // Whether a warming host may take a request of `units`. The decision is random. The probability of
    // admission is the fraction of the request that has become due to the host since the host was last
    // considered, so that all gateways together keep to the host's share. This guards against many gateways
    // that send requests or retries to a fresh host at once. It fails to protect the host if requests cost
    // more than their units.
    [[nodiscard]] bool admits(Host& host, double units);
    // Records that `units` are sent to the host.
    void record_sent(Host& host, double units);

    // Counts the host anew as warm or warming if it is usable, and excludes it otherwise. Must be called
    // after the host's start has changed, or after it has become usable or unusable.
    void update(Host& host);
    // Excludes the host from the counts. Must be called before the host is destroyed, banned or reset.
    void remove(Host& host);
    // Counts the hosts that have become warm, and has the warm rate computed again at its next use.
    void refresh();

  private:
    // Compares hosts by the time at which they become warm, then by order key and name.
    struct ByWarmTime {
        bool operator()(const Host* left, const Host* right) const;
    };

    // Returns the rate, in units a second, at which this gateway recently sent requests to one warm host. The
    // result is cached; see `refresh`.
    [[nodiscard]] double warm_rate();
    // Moves hosts that have become warm from the warming set to the count of warm hosts.
    void promote_warmed_up_hosts();
    void add_warm_host(Host& host);

    Context& context_;
    std::size_t warm_count_ = 0;
    DecayingCounter warm_units_sent_;  // units sent to the warm hosts
    std::set<Host*, ByWarmTime> warming_;
    double warm_rate_ = 0;    // the latest result of `warm_rate`
    Micros warm_rate_at_{0};  // when `warm_rate_` was computed; 0: to be computed again
};

}  // namespace gateway::decision

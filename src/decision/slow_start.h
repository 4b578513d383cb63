// Slow start: how much a host that has started lately may be given.
#pragma once

#include <cstddef>
#include <set>

#include "context.h"
#include "host.h"

namespace gateway::decision {

// Counts the usable hosts that are warm and sums what was sent to them, so that a warming host gets the even
// share of a warm one, scaled to the capacity that it surely has. Keeps pointers to hosts: `remove` comes
// before a host ends.
class SlowStart {
  public:
    explicit SlowStart(Context& context) : context_(context) {}

    // Share of its full capacity that the host has now, from its start on.
    [[nodiscard]] double capacity_share(const Host& host) const;
    // Whether the host still warms up while warm ones could serve.
    [[nodiscard]] bool restricts(const Host& host) const {
        return capacity_share(host) < 1 && warm_count_ > 0;
    }
    // Whether a warming host may take a request of so many units: a random draw with the part of a request
    // that has come due since it was last considered as its chance. In sum over all gateways the share holds.
    // Guards against herds on fresh hosts, retries too; harms where requests cost more than their units say.
    [[nodiscard]] bool admits(Host& host, double units);
    // Units were sent to the host.
    void record_sent(Host& host, double units);

    // The host's start or whether it is usable has changed.
    void update(Host& host);
    // The host ends, is banned, or its sums are forgotten.
    void remove(Host& host);
    // Counts those that have become warm; the warm rate is worked out anew.
    void refresh();

  private:
    // By the time from which they are warm, then by place and name.
    struct ByWarmTime {
        bool operator()(const Host* left, const Host* right) const;
    };

    [[nodiscard]] double warm_rate();
    void settle();
    void count(Host& host);

    Context& context_;
    std::size_t warm_count_ = 0;
    DecayingCounter warm_sent_;  // units sent to the warm hosts
    std::set<Host*, ByWarmTime> warming_;
    double warm_rate_ = 0;  // units a second that a warm host gets from here
    Micros warm_rate_at_{0};
};

}  // namespace gateway::decision

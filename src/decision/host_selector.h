// Selects the hosts to which a request may be sent, and the best of them.
#pragma once

#include <vector>

#include "context.h"
#include "gateway/request_rules.h"
#include "host_registry.h"
#include "load_estimator.h"
#include "outlier_detector.h"
#include "request.h"
#include "slow_start.h"

namespace gateway::decision {

class HostSelector {
  public:
    HostSelector(Context& context, const RequestRules& rules, HostRegistry& hosts, SlowStart& slow_start,
                 const LoadEstimator& load, const OutlierDetector& outliers)
        : context_(context),
          rules_(rules),
          hosts_(hosts),
          slow_start_(slow_start),
          load_(load),
          outliers_(outliers) {}

    // Returns the two hosts with the lowest cost, the lowest first, among the first available hosts in this
    // gateway's order; or fewer, if fewer are available. A warming host that admits the request is returned
    // alone. Each gateway prefers a stable small set of hosts, so that hundreds of gateways do not use up the
    // connections of every host, and each gateway learns more about the hosts that it uses.
    [[nodiscard]] std::vector<Host*> select(const Request& request);
    // Returns the request's candidate with the lowest cost among those that have capacity and may take the
    // request; null if there is none.
    [[nodiscard]] Host* best_candidate(const Request& request) const;
    // Whether the rules on retries and hedged requests allow an attempt at the host.
    [[nodiscard]] bool rules_allow(const Host& host, const Request& request) const;
    // Whether the host has capacity for one more request. A host has none if it is unusable or ejected, or if
    // it has no fresh load report and is not known; see LoadEstimator::is_known. Any other host has capacity
    // if its outstanding requests are below its limit. The limit does not apply if a fresh load report shows
    // no queue and does not contain the number of outstanding requests.
    [[nodiscard]] bool has_capacity(const Host& host) const;

  private:
    // Cost of one more request at the host; lower is better. It is the time that the host probably takes for
    // its outstanding requests and this one, divided by its current capacity.
    [[nodiscard]] double cost(const Host& host) const;
    // Cost of sending the given request to the host. Another zone, the host of the request's last attempt and
    // a penalty for the request's traffic class raise the cost. The cost includes random noise.
    [[nodiscard]] double cost(const Host& host, const Request& request);
    // Whether the host is usable and not ejected, the rules allow an attempt at the host, and its outstanding
    // requests are below its limit. The limit does not apply to hosts that are not known.
    [[nodiscard]] bool is_available(const Host& host, const Request& request) const;

    Context& context_;
    const RequestRules& rules_;
    HostRegistry& hosts_;
    SlowStart& slow_start_;
    const LoadEstimator& load_;
    const OutlierDetector& outliers_;
};

}  // namespace gateway::decision

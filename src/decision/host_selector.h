// Which hosts a request may go to, and which of them are best.
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

    // The best two of the first hosts, in this gateway's own order, that could take the request; the best one
    // first; a warming host alone. A stable few, so that hundreds of gateways do not fill every host's
    // connections, and each learns more of those that it uses.
    [[nodiscard]] std::vector<Host*> select(const Request& request);
    // The better of the request's candidates that have capacity and may take it; null where there is none.
    [[nodiscard]] Host* best_candidate(const Request& request) const;
    // Whether the host may take the request, by the rules on retries and hedged requests.
    [[nodiscard]] bool may_take(const Host& host, const Request& request) const;
    // Whether the host has capacity for one more. By its own fresh report it has while nothing queues there,
    // whatever the limits learned.
    [[nodiscard]] bool has_capacity(const Host& host) const;

  private:
    // Lower is better: the time that the host is likely to take, in relation to its weight.
    [[nodiscard]] double cost(const Host& host) const;
    [[nodiscard]] double cost(const Host& host, const Request& request);
    [[nodiscard]] bool is_available(const Host& host, const Request& request) const;

    Context& context_;
    const RequestRules& rules_;
    HostRegistry& hosts_;
    SlowStart& slow_start_;
    const LoadEstimator& load_;
    const OutlierDetector& outliers_;
};

}  // namespace gateway::decision

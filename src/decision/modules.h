// The decision modules of one gateway, declared in the order of their dependencies.
#pragma once

#include <cstdint>

#include "concurrency_permits.h"
#include "context.h"
#include "customer_table.h"
#include "gateway/request_rules.h"
#include "health_checker.h"
#include "host_registry.h"
#include "host_selector.h"
#include "load_estimator.h"
#include "outlier_detector.h"
#include "peer_messenger.h"
#include "quota_leases.h"
#include "quota_ledger.h"
#include "request_queue.h"
#include "retry_policy.h"
#include "slow_start.h"

namespace gateway::decision {

// Owns the modules. A module depends only on modules declared above it.
struct Modules {
    // Throws std::invalid_argument if the settings are invalid.
    Modules(Settings settings, std::uint64_t seed, Micros now) : context(std::move(settings), seed, now) {}

    Context context;
    const RequestRules rules{context.settings()};

    PeerMessenger messenger{context};
    CustomerTable customers{context};
    QuotaLedger ledger{context};
    QuotaLeases leases{context, ledger, messenger};
    ConcurrencyPermits permits{context, ledger, leases, messenger};

    SlowStart slow_start{context};
    HostRegistry hosts{context, slow_start};
    LoadEstimator load{context, hosts};
    OutlierDetector outliers{context, load};
    HostSelector selector{context, rules, hosts, slow_start, load, outliers};
    HealthChecker health_checker{context};

    RetryPolicy retries{context};
    RequestQueue queue;
};

}  // namespace gateway::decision

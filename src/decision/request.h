// One request that this gateway has in hand.
#pragma once

#include <string>
#include <vector>

#include "customer.h"
#include "gateway/interface.h"
#include "gateway/request_rules.h"
#include "host.h"

namespace gateway::decision {

// From its arrival until it has its final answer or its client has disconnected.
struct Request {
    RequestArrived arrival;
    Customer* customer = nullptr;
    Micros deadline{0};      // when the client gives up
    Micros latest_start{0};  // an attempt sent later is unlikely to be answered in time
    int traffic_class = 0;   // its request class and plan, as one number

    bool within_quota = true;      // false: admitted beyond the quota
    bool admitted = false;         // quota and permits cover it
    bool forwarded = false;        // an attempt was sent
    bool queued = false;           // waits for a host, in the request queue
    bool checking_health = false;  // waits for health checks

    std::vector<Host*> candidates;  // the best hosts, at the latest choice
    int health_check_rounds = 0;
    int health_checks_in_flight = 0;

    RequestHistory history;
    AttemptReason next_reason = AttemptReason::first;
    Micros last_sent_at{0};
    std::string last_host;
};

}  // namespace gateway::decision

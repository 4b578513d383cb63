// The state of one request at this gateway.
#pragma once

#include <string>
#include <vector>

#include "customer.h"
#include "gateway/interface.h"
#include "gateway/request_rules.h"
#include "host.h"

namespace gateway::decision {

// An answer of unknown length that is arriving for one attempt.
struct ArrivingResponse {
    int attempt = 0;
    Micros since{0};  // time at which its header had arrived
};

// Exists from the request's arrival until it has its final answer or its client has disconnected.
struct Request {
    RequestArrived arrival;
    Customer* customer = nullptr;
    Micros deadline{0};      // time at which the client gives up
    Micros latest_start{0};  // an attempt sent after this time is unlikely to be answered in time
    int traffic_class = 0;   // combines the request class and the plan in one number

    bool within_quota = true;      // false: the request was admitted beyond the quota
    bool admitted = false;         // whether the request has passed the quota and the concurrency limit
    bool forwarded = false;        // whether an attempt was sent
    bool queued = false;           // whether the request waits for a host in the request queue
    bool checking_health = false;  // whether the request waits for the results of health checks

    std::vector<Host*> candidates;  // the best hosts of the latest host selection
    int health_check_rounds = 0;
    int health_checks_in_flight = 0;

    RequestHistory history;
    std::vector<ArrivingResponse> arriving;  // of attempts in flight, in the order of their headers
    Micros stream_at{0};                     // time until which the arriving responses are held back
    AttemptReason next_reason = AttemptReason::first;
    Micros last_sent_at{0};
    std::string last_host;
};

}  // namespace gateway::decision

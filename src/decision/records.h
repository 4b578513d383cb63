// What the module keeps of amounts, ledgers, leases and requests: plain records, no decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decaying_counter.h"
#include "gateway/interface.h"
#include "gateway/request_rules.h"

namespace gateway::decision {

// A gateway of the set, by what it holds and wants of the open cap.
struct SlotHolder {
    int from = 0;
    std::uint32_t nonce = 0;  // of its latest request
    int wanted = 0, held = 0;
    Micros until{0};
};
// A customer's quota as its home keeps it: what no gateway of the set holds a lease of yet.
struct Ledger {
    double level = 0, hard = 0;
    Micros touched{0}, promised{0};  // by when those turned away could all have been given what they lacked
    DecayingCounter asked;           // units asked for by all gateways
    std::vector<SlotHolder> slots;   // who waits longest first
    void serialize(auto& codec) { codec(level, hard, touched, promised, asked); }
};

// Whether a host counts among the warm ones, and from when on it will.
struct Warmth {
    Micros from{0};
    bool counted = false, awaited = false;
};
struct Host {
    HostEntry entry;
    bool banned = false;  // by operators, whatever the list says
    bool usable() const { return entry.state == HostState::up && !banned; }
    int out = 0;                    // own attempts out
    std::uint32_t place = 0;        // in this gateway's order
    double out_limit = 0;           // attempts, by all gateways
    std::map<int, Micros> shunned;  // by kind of request, until when
    Micros last_answer{0}, blocked_until{0};
    DecayingCounter answers, sent;  // seen here lately; units sent there
    double answer_s = 0;            // mean answer time; 0: none seen
    int failures = 0, ejections = 0;
    Micros told_start{0};                   // by the list; the entry's may be later, for a host put back
    Micros looked_at{0}, reported_at{0};    // when last considered while cold, when it told of itself
    double reported = -1;                   // requests it holds by its own word
    bool idle = false, tells_held = false;  // by its own word: nothing queues there, what it holds
    std::vector<RequestId> probed_for;      // those that wait for the probe that is out
    Warmth warmth;
    void serialize(auto& codec) {
        codec.stamp(told_start);
        codec.stamp(entry.started);
        codec(out_limit, answer_s, failures, ejections, looked_at, last_answer, blocked_until, answers, sent);
    }
};

struct Customer;
// Attempts that are out still though their request has its final answer or its client has left: until they
// end they count against the customer's open cap, and from then on no more.
struct LeftOut {
    Customer* customer;
    int out;
};
struct PendingLease {
    Customer* customer;
    int to;
    Micros sent;
    bool ahead = false;    // for what is likely to come, not for a request in line
    bool overdue = false;  // counts as lost; its grant may come all the same
};
struct Request {
    RequestArrived arrival;
    Customer* customer = nullptr;
    Micros deadline{0}, latest_start{0};
    bool in_quota = true, admitted = false, sent = false, waiting = false, probing = false;
    int kind = 0, rounds = 0, probes_out = 0;  // kind: class and plan
    RequestHistory history;
    AttemptReason next_attempt = AttemptReason::first;
    std::vector<Host*> pair;
    Micros last_sent{0};
    std::string last_host;
};

}  // namespace gateway::decision

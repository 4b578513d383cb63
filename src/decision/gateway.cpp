// Every decision of the gateway and every tuned constant. Types, events and actions: gateway/interface.h
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "context.h"
#include "gateway/interface.h"
#include "host_index.h"
#include "peer_message.h"
#include "records.h"
#include "snapshot_codec.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// ---- tuned constants, each with its unit and reason ------------------------------------------------------
constexpr double cold_factor = 3;      // SmoothWarmingUp's coldInterval / stableInterval, by the design
constexpr double use_memory_s = 2;     // memory of recent demand
constexpr double prefetch_s = 0.5;     // a lease asked for covers this much of the demand seen here
constexpr double prefetch_factor = 3;  // of these, or of the last request's units, are asked for ahead
constexpr double start_share = 0.5, home_hard_share = 0.5;  // of the burst at start; the home's of a ceiling
constexpr int homes = 3, lease_tries = 4;  // a customer's home and successors; tries for one request
constexpr Micros grant_due = 150ms;        // a request unanswered by then counts as lost
constexpr double intake_share = 0.8, message_burst = 3;  // of an intake that is used; messages at once
constexpr double intake_memory_s = 1;                    // memory of own intake
constexpr double no_hurry_share = 0.25;                  // of that, by messages that no request waits for
constexpr std::size_t outbox_most = 200;                 // messages kept for one peer; more are dropped
constexpr int silent_after = 2;    // lease requests lost in a row that make a peer count as silent
constexpr Micros silent_for = 1s;  // it is then passed over this long
constexpr Micros slot_term = 1s, slot_renewal = 250ms;  // of a slot lent; when it is asked for anew
constexpr Micros idle_least = 10s, sweep_period = 5s;   // idle customers age out; how often that is looked at
constexpr double slow_share_of_aim = 0.5, slow_weight = 0.04;  // slow, as a share of the aim; its weight
constexpr double pressed_above = 0.25, relieved_below = 0.20;  // slow shares: looks pressed, no more
constexpr double room_below = 0.08;            // slow share under which there is room for more than quotas
constexpr double answer_weight = 0.05;         // weight of one answer in a host's and the fleet's answer time
constexpr double waiting_for_each_host = 0.5;  // requests that may wait here, for each host listed
constexpr double margin_answers = 1.3, margin_most = 0.8;  // kept for the answer: means, share of the aim
constexpr double limit_start = 6, limit_least = 2, limit_most = 128;  // attempts at one host, by all gateways
constexpr double limit_trust = 10;    // answers by which a host's own limit outweighs the fleet's
constexpr double long_memory_s = 10;  // memory of answers, first and further attempts
constexpr double limit_growth = 1, limit_cut = 0.9;  // over the limit for a good answer near it; a bad one
constexpr double limit_slow_share = 0.25;            // answer time as a share of the aim that cuts the limit
constexpr double silent_answers = 3.5;  // expected answers missing when silence is evidence (e^-3.5 = 3%)
constexpr double check_earliest = 0.25, check_latest = 0.55;  // of the aim: silence is looked for
constexpr Micros shun_for = 20s;  // a host that turned one kind of request away is dear for it this long
constexpr double shun_cost = 16;  // by this factor
constexpr int eject_after = 3;    // failures in a row that eject a host
constexpr Micros eject_first = 500ms, eject_most = 8s;  // first ejection, doubled with each further one
constexpr double retry_share = 0.15, retry_floor = 5;   // further attempts earned by each first one, always
constexpr double cold_caution = 0.4;     // of what fells it, were it to get the even share of a warm one
constexpr Micros cold_chance_most = 5s;  // time since a cold host was last looked at that counts for its part
constexpr double warm_memory_s = 5;      // memory of the rate that warm hosts carry
constexpr Micros warm_rate_valid = 50ms;
constexpr double own_view = 2;  // attempts out by which the own view of a host's load outweighs the mean
constexpr std::size_t sampled = 12, kept = 32;  // hosts looked at for a request, out of those used at all
constexpr Micros told_late_most = 30s;          // a host's start is told no later than this
constexpr Micros left_hosts_kept = 10min;       // starts of hosts that have left are remembered
constexpr double known_answers = 10;            // answers of a host in the memory that spare a probe
constexpr Micros report_valid = 250ms;  // a host's own word is believed, or a failed probe leaves it alone
constexpr Micros probe_due = 40ms, wait_again = 100ms;   // the better of two is waited for, a host looked for
constexpr double window_least = 0.2, window_slack = 2;   // deviations that pass; they even out in sum
constexpr int probe_rounds = 2;                          // pairs of hosts probed for one request
constexpr double probes_of_fleet = 12, probes_kept = 4;  // earned by a request, by all gateways; saved up

constexpr std::uint32_t state_version = 3;  // of what an upgrade leaves; another version's is passed over
constexpr double inherited_answers = 2;     // mean answer times for which inherited attempts count as out

// Guava's SmoothWarmingUp for one customer at this gateway. Starts full, hence slow; the next caller pays.
struct WarmUpLimiter {
    double stored = -1;  // below 0: not started, that is full
    Micros next_free{0};

    static double max_permits(double stable_s, double warmup_s) {
        const double threshold = 0.5 * warmup_s / stable_s;
        return threshold + 2 * warmup_s / (stable_s + cold_factor * stable_s);
    }
    void resync(Micros now, double stable_s, double warmup_s) {
        const double most = max_permits(stable_s, warmup_s);
        if (stored < 0) stored = most, next_free = now;
        if (now <= next_free) return;
        stored = std::min(most, stored + to_seconds(now - next_free) * most / warmup_s);
        next_free = now;
    }
    void reserve(double permits, double stable_s, double warmup_s) {
        const double threshold = 0.5 * warmup_s / stable_s;
        const double slope = (cold_factor - 1) * stable_s / (max_permits(stable_s, warmup_s) - threshold);
        const double spent = std::min(permits, stored);
        const double above = std::max(0.0, stored - threshold);
        const double steep = std::min(above, spent);
        const double climb = steep * (2 * stable_s + slope * (2 * above - steep)) / 2;
        next_free += to_micros(climb + stable_s * (spent - steep) + stable_s * (permits - spent));
        stored -= spent;
    }
};

}  // namespace

struct Customer {
    std::uint32_t hash = 0;
    int plan = -1, set_size = 1, set_start = 0;
    Micros touched{0}, last_use{0};
    double level = 0;                 // plain store: units of the quota this gateway may still send on
    Micros even_at{0};                // when the even slice next covers a unit, where no home answers
    DecayingCounter own;              // recent demand here
    double told_demand = 0;           // and by all gateways, units a second, as the home tells
    Micros told_at{0}, dry_until{0};  // when it told, and until when it has nothing
    double dry_need = 0;              // for requests of this size
    double hard_level = 0, hard_reserved = 0;  // this gateway's own share of the ceiling
    std::uint32_t nonce = 0;                   // of the lease request that is out; 0: none
    bool prefetching = false;                  // a lease for what is likely to come is asked for
    int tries = 0;                             // lease requests for the first in line
    int overdue = 0;                           // lease requests that count as lost and are still known
    std::vector<RequestId> awaiting;  // requests that wait for a lease; a deque costs 600 bytes empty
    std::vector<RequestId> held;      // requests that wait for a slot under the open cap
    int slots = 0, slots_wanted = 0, slots_in_line = 0;  // lent by the home, of use here, waited for by all
    std::uint32_t slot_nonce = 0;                        // of the latest request for slots
    Micros slots_asked{0}, slots_until{0};               // its time, and the end of what is lent
    int open = 0, requests = 0;                          // attempts out, requests in hand
    int leaving = 0;                                     // requests let in that have not been sent yet
    WarmUpLimiter limiter;
    void serialize(auto& codec) {
        codec(hash, plan, set_size, set_start, touched, last_use, level, even_at, own, told_demand, told_at,
              dry_until, dry_need, hard_level, hard_reserved, open, leaving, limiter.stored,
              limiter.next_free);
    }
};
struct Peer {
    int lost = 0;        // lease requests in a row
    Micros flush_at{0};  // what stands in the outbox goes then
    double tokens = message_burst;
    Micros tokens_at{0}, silent_until{0}, heard{0};
    std::vector<PeerMessage> outbox;
};

class Gateway::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed, Micros now)
        : context_(std::move(settings), seed, now), rules_(context_.settings()) {
        // Once every store would be full again, a customer that is forgotten and one that is kept are alike.
        // Guards against memory that grows with all who ever came.
        for (const Plan& p : context_.settings().plans) {
            if (p.rate > 0) idle_after_ = std::max(idle_after_, to_micros(p.burst / p.rate));
            if (p.ceiling_rate > 0)
                idle_after_ = std::max(idle_after_, to_micros(p.ceiling_burst / p.ceiling_rate));
        }
    }

    void handle(Micros now, const Event& event, Actions& actions) {
        context_.begin_event(now, actions);
        if (!context_.heartbeat_started()) beat();
        std::visit([this](const auto& e) { on(e); }, event);
    }

  private:
    // ---- quotas ---------------------------------------------------------------------------------------

    const Plan* plan_of(const Customer& c) const {
        return c.plan < 0 ? nullptr : &context_.settings().plans[c.plan];
    }

    // The set's gateways in the order in which they keep this customer's ledger.
    int home(std::uint32_t hash, int set_start, int set_size, int place) const {
        const auto n = static_cast<std::uint32_t>(set_size);
        const std::uint32_t at = (hash + static_cast<std::uint32_t>(place) * (1 + n / 3)) % n;
        return static_cast<int>((static_cast<std::uint32_t>(set_start) + at) % context_.settings().instances);
    }

    // This gateway's share of the customer's recent demand; the even split where no home told it lately.
    double share(const Customer& c) const {
        const double even = 1.0 / c.set_size, own = c.own.value(context_.now(), use_memory_s) / use_memory_s;
        if (c.told_at <= 0us || context_.now() - c.told_at > sweep_period) return even;
        return std::clamp(own / std::max({own, c.told_demand, 1e-9}), even, 1.0);
    }

    // The even share of the ceiling, of what its home does not own.
    double even_ceiling(const Customer& c, double of) const {
        return of * (1 - home_hard_share) / c.set_size;
    }
    void touch(Customer& c) {
        const double dt = to_seconds(context_.now() - std::exchange(c.touched, context_.now()));
        if (const Plan* p = plan_of(c); p && p->ceiling_rate > 0)
            c.hard_level += std::min(even_ceiling(c, p->ceiling_burst) - c.hard_level,
                                     dt * even_ceiling(c, p->ceiling_rate));
    }

    Customer& customer(const RequestArrived& r) {
        auto [it, fresh] = customers_.try_emplace(r.customer);
        Customer& c = it->second;
        // The ceiling's share counts from this start, from nothing: a former life may have spent it all.
        if (fresh) c.hash = name_hash(r.customer), c.plan = r.plan, c.touched = context_.started_at();
        c.set_size = std::max(c.set_size, std::clamp(r.set_size, 1, context_.settings().instances));
        c.set_start = ((r.set_start % context_.settings().instances) + context_.settings().instances) %
                      context_.settings().instances;
        c.last_use = context_.now();
        return touch(c), c;
    }

    // ---- the ledger of customers whose home is here ----------------------------------------------------

    Ledger& ledger(std::uint32_t customer, const Plan& p) {
        auto [it, fresh] = ledgers_.try_emplace(customer);
        if (fresh) it->second.level = start_share * p.burst, it->second.touched = context_.started_at();
        return it->second;
    }
    // Grants a lease: what is needed or nothing, and at most half of the rest on top, taken off first, so
    // that leases lost on the way are lost and none counts twice. Acts where the slice held here does not
    // cover a request; harms by a burst at most for each home that restarts.
    LeaseGrant grant(const LeaseRequest& request) {
        const Plan& p = context_.settings().plans[request.plan];
        Ledger& l = ledger(request.customer, p);
        const double dt = to_seconds(context_.now() - std::exchange(l.touched, context_.now()));
        // A successor keeps less of the burst, and gives none of the ceiling's common share: the home owns
        // it.
        const bool owns =
            home(request.customer, request.set_start, request.set_size, 0) == context_.settings().rank;
        l.level = std::min(p.burst * (owns ? 1 : start_share), l.level + dt * p.rate);
        if (owns)
            l.hard =
                std::min(home_hard_share * p.ceiling_burst, l.hard + dt * home_hard_share * p.ceiling_rate);
        l.asked.add(request.need + request.extra, context_.now(), use_memory_s);
        LeaseGrant given{request.nonce};
        given.demand = l.asked.value(context_.now(), use_memory_s) / use_memory_s;
        double wait = 0;
        if (request.need > l.level) {
            // Each gateway that is turned away gets a turn of its own. Guards against all of them coming for
            // the same units, and then again, through a full intake.
            const Micros turn = l.promised + to_micros(request.need / std::max(p.rate, 1e-9));
            wait = (request.need - l.level) / std::max(p.rate, 1e-9);
            l.promised = std::max(context_.now() + to_micros(wait), turn);
            wait = to_seconds(l.promised - context_.now());
        }
        if (l.hard < request.hard)
            wait = std::max(wait, (request.hard - l.hard) / std::max(p.ceiling_rate, 1e-9));
        if (wait > 0)
            return given.wait_ms = static_cast<std::uint32_t>(std::min(wait, 60.0) * 1e3) + 1, given;
        given.units = request.need + std::clamp((l.level - request.need) / 2, 0.0, request.extra);
        given.hard = request.hard;
        l.level -= given.units;
        l.hard -= given.hard;
        return given;
    }

    // Asks for what the first request in line lacks: the home, else its successors, else the even slice.
    void acquire(Customer& c) {
        std::erase_if(c.awaiting, [this](RequestId id) { return !requests_.count(id); });
        if (c.awaiting.empty()) return;
        const double k = requests_.at(c.awaiting.front()).arrival.units;
        LeaseRequest request{0, c.hash, c.plan, c.set_size, c.set_start, lack(c, k), 0, ceiling_lack(c, k)};
        request.extra =
            std::max(0.0, c.own.value(context_.now(), use_memory_s) / use_memory_s * prefetch_s - k);
        for (int place = 0; place < homes && c.tries < lease_tries; ++place) {
            const int to = home(c.hash, c.set_start, c.set_size, place);
            if (to == context_.settings().rank) return receive(c, grant(request));
            if (!context_.settings().may_message_peers || context_.now() < peers_[to].silent_until) continue;
            ++c.tries;
            c.nonce = request_lease(c, to, request, false);
            return;
        }
        c.tries = 0;
        for (const RequestId id : std::exchange(c.awaiting, {}))
            if (const auto it = requests_.find(id); it != requests_.end()) from_even_slice(it->second);
    }

    std::uint32_t request_lease(Customer& c, int to, LeaseRequest request, bool ahead) {
        request.nonce = context_.next_nonce();
        post(to, request, !ahead);
        // One that waits in the outbox is not lost yet.
        const Micros queued = peers_[to].outbox.empty() ? 0us : peers_[to].flush_at - context_.now();
        leases_due_[request.nonce] = {&c, to, context_.now() + queued, ahead};
        context_.set_timer(grant_due + queued + (ahead ? no_hurry() : 0us), request.nonce,
                           TimerKind::lease_request);
        return request.nonce;
    }

    // Asks ahead once the store would not cover the next request like the last one, or the demand until an
    // lease request is answered. Guards against every request waiting for a lease request of its own; harms
    // by what then lies here while others could use it, a request's units or so.
    void prefetch(Customer& c, double k) {
        const Plan* p = plan_of(c);
        if (!p || p->rate <= 0 || c.prefetching || context_.now() < c.dry_until || handed_) return;
        const double soon =
            std::max(k, c.own.value(context_.now(), use_memory_s) / use_memory_s * prefetch_s);
        const int to = home(c.hash, c.set_start, c.set_size, 0);
        // What lies unspent at the gateways of a set is more than the customer's own store would hold, as
        // that fills to the burst only: together they keep no more than that ahead.
        const double most = p->burst / c.set_size;
        if (c.level >= soon || most < k || to == context_.settings().rank ||
            !context_.settings().may_message_peers || context_.now() < peers_[to].silent_until)
            return;
        const double ahead = std::min(prefetch_factor * soon, most);
        LeaseRequest request{0, c.hash, c.plan, c.set_size, c.set_start, 0, ahead, ceiling_lack(c, k)};
        c.prefetching = true;
        request_lease(c, to, request, true);
    }

    // No home answers: the even slice of the quota decides, one request at once. Guards against lost messages
    // and dead homes; over-commit is bounded by a request for each gateway of the set.
    void from_even_slice(Request& q) {
        Customer& c = *q.customer;
        const Plan& p = *plan_of(c);
        const double k = q.arrival.units;
        const Micros wait = c.even_at - context_.now();
        if (ceiling_lack(c, k) > 0)
            return deny(q, to_micros(ceiling_lack(c, k) / even_ceiling(c, p.ceiling_rate)),
                        RejectionReason::over_quota);
        if (lack(c, k) > 0) {
            if (wait > 0us) return deny(q, wait, RejectionReason::over_quota);
            c.even_at =
                std::max(c.even_at, context_.now()) + to_micros(k * c.set_size / std::max(p.rate, 1e-9));
            c.level += lack(c, k);
        }
        admit(q);
    }

    double lack(const Customer& c, double k) const {
        return plan_of(c)->rate > 0 ? std::max(0.0, k - c.level) : 0;
    }
    double ceiling_lack(const Customer& c, double k) const {
        return plan_of(c)->ceiling_rate > 0 ? std::max(0.0, k - (c.hard_level - c.hard_reserved)) : 0;
    }

    // A lease goes into the stores and the line moves. True where that let a request in.
    bool credit(Customer& c, const LeaseGrant& given) {
        const Plan& p = *plan_of(c);
        touch(c);
        c.level = std::min(c.level + given.units, std::max(p.burst, c.level));
        c.hard_level = std::min(c.hard_level + given.hard, even_ceiling(c, p.ceiling_burst));
        c.told_demand = given.demand, c.told_at = context_.now();
        bool any = false;
        for (const RequestId id : std::exchange(c.awaiting, {})) {
            const auto it = requests_.find(id);
            if (it == requests_.end()) continue;
            const double k = it->second.arrival.units;
            if (lack(c, k) > 0 || ceiling_lack(c, k) > 0) c.awaiting.push_back(id);
            else enter(it->second), any = true;
        }
        return any;
    }
    // A grant came, or word that there is none.
    void receive(Customer& c, const LeaseGrant& given) {
        c.tries = 0;
        if (credit(c, given) || c.awaiting.empty()) return acquire(c);
        const Micros wait = std::max(grant_due, Micros(given.wait_ms * 1000));
        c.dry_until = context_.now() + wait;
        for (const RequestId id : std::exchange(c.awaiting, {}))
            if (const auto it = requests_.find(id); it != requests_.end())
                c.dry_need = it->second.arrival.units, deny(it->second, wait, RejectionReason::over_quota);
    }

    // Beyond the quota: refused at once with the wait, unless settings say that excess earns.
    void deny(Request& q, Micros wait, RejectionReason cause) {
        const Plan* p = plan_of(*q.customer);
        const bool earns =
            p->excess_weight_share > p->excess_cost_share && ceiling_lack(*q.customer, q.arrival.units) <= 0;
        const bool room = !pressed_ && slow_share_ < room_below && waiting_.empty();
        if (!earns || !room) return refuse(q, wait, cause);
        q.in_quota = false;
        admit(q);
    }
    void refuse(Request& q, Micros wait, RejectionReason cause) {
        context_.emit(RejectRequest{q.arrival.id, advice(std::max(wait, 0us)), cause});
        forget(q);
    }

    // The answer time to expect: half of it for waiting, half for work, which grows with the units.
    double answer_for(double units) const {
        return answer_s_ * (1 + units / std::max(mean_units_, 1e-3)) / 2;
    }
    // Decides on one request: the plain store always, the split slice with warm-up cost while pressed.
    void on(const RequestArrived& r) {
        if (r.request_class < 0 || r.request_class >= static_cast<int>(context_.settings().classes.size()) ||
            r.plan >= static_cast<int>(context_.settings().plans.size()) || requests_.count(r.id))
            return;
        // Timers come on the grid of the tick: what has less left than two of them could not be answered in
        // time.
        if (r.time_left <= 2 * context_.settings().tick)
            return context_.emit(RejectRequest{r.id, 0us, RejectionReason::expired_on_arrival});
        if (handed_) return context_.emit(RejectRequest{r.id, 0us, RejectionReason::handed_over});
        Customer& c = customer(r);
        Request q;
        q.arrival = r, q.customer = &c, q.deadline = context_.now() + r.time_left;
        q.arrival.units = std::max(0.0, r.units);
        q.kind = r.request_class * static_cast<int>(context_.settings().plans.size() + 1) + r.plan + 1;
        const double left =
            to_seconds(std::min(r.time_left, context_.settings().classes[r.request_class].latency_objective));
        const double margin = std::min(margin_answers * answer_for(q.arrival.units), margin_most * left);
        q.latest_start = context_.now() + to_micros(left - margin);
        const double k = q.arrival.units;
        c.own.add(k, context_.now(), use_memory_s);
        probes_ = std::min(probes_kept, probes_ + probes_of_fleet / context_.settings().instances);
        ++c.requests;
        Request& kept = requests_.emplace(r.id, std::move(q)).first->second;
        context_.set_timer(r.time_left - 2 * context_.settings().tick, r.id, TimerKind::deadline);
        enter(kept);
    }

    // Lets a request in if there is a place for it and the stores cover it, or has it wait for what it lacks.
    void enter(Request& q) {
        Customer& c = *q.customer;
        const double k = q.arrival.units;
        if (!plan_of(c) || (lack(c, k) <= 0 && ceiling_lack(c, k) <= 0))
            return has_slot(c) ? admit(q) : hold(q);
        if (context_.now() < c.dry_until && k >= c.dry_need)
            return deny(q, c.dry_until - context_.now(), RejectionReason::over_quota);
        c.awaiting.push_back(q.arrival.id);
        context_.set_timer(q.latest_start - context_.now(), q.arrival.id, TimerKind::expiry);
        if (c.nonce == 0) acquire(c);
    }

    // Where a slot for each gateway of the set would be over twice the cap, the home lends them. Guards
    // against sends beyond the cap; harms by the way there, more than it saves in smaller sets.
    bool borrows_slots(const Customer& c) {
        const Plan& p = *plan_of(c);
        const int to = home(c.hash, c.set_start, c.set_size, 0);
        return c.set_size > 2 * p.max_concurrency && context_.settings().may_message_peers &&
               (to == context_.settings().rank || context_.now() >= peers_[to].silent_until);
    }
    // This gateway's slots. What is let in and not sent yet will count as well. A fraction of a slot is none,
    // but for the first: rounded up, the shares of a set would be more than the cap.
    double slots(const Customer& c) {
        if (borrows_slots(c)) return context_.now() < c.slots_until ? c.slots : 0;
        return std::max(1.0, std::floor(plan_of(c)->max_concurrency * share(c)));
    }
    bool has_slot(const Customer& c) {
        const Plan* p = plan_of(c);
        return !p || p->max_concurrency <= 0 || c.open + c.leaving < slots(c);
    }
    // Beyond the open cap: held until an attempt ends, or refused at once where its turn would come too late.
    void hold(Request& q) {
        Customer& c = *q.customer;
        std::erase_if(c.held, [this](RequestId id) { return !requests_.count(id); });
        const double line = 1 + static_cast<double>(c.held.size()) + c.slots_in_line;
        const Micros wait = to_micros(answer_s_ * line / plan_of(c)->max_concurrency);
        if (context_.now() + wait > q.latest_start)
            return deny(q, wait, RejectionReason::over_concurrency_limit);
        c.held.push_back(q.arrival.id);
        context_.set_timer(q.latest_start - context_.now(), q.arrival.id, TimerKind::expiry);
        claim_slots(c, false);
    }
    void fill_slots(Customer& c) {
        while (!c.held.empty() && has_slot(c)) {
            const RequestId id = c.held.front();
            c.held.erase(c.held.begin());
            if (const auto it = requests_.find(id); it != requests_.end()) enter(it->second);
        }
        claim_slots(c, false);
    }
    // Tells the home how many slots there is use for here, once that has changed or what is lent runs out.
    void claim_slots(Customer& c, bool renews) {
        const Plan* p = plan_of(c);
        if (!p || p->max_concurrency <= 0 || handed_ || !borrows_slots(c)) return;
        std::erase_if(c.held, [this](RequestId id) { return !requests_.count(id); });
        const int wanted = std::min(p->max_concurrency, c.open + c.leaving + static_cast<int>(c.held.size()));
        if (wanted == c.slots_wanted && !renews) return;
        c.slots_wanted = wanted, c.slots = std::min(c.slots, wanted);
        c.slots_asked = context_.now();
        if (wanted == 0) c.slots_in_line = 0;  // or a line long gone would turn the next request away
        c.slot_nonce = context_.next_nonce();
        const SlotRequest request{c.slot_nonce, c.hash, c.plan, c.set_size, c.set_start, wanted};
        if (wanted > 0) context_.set_timer(slot_renewal, c.hash, TimerKind::permit_renewal);
        const int to = home(c.hash, c.set_start, c.set_size, 0);
        if (to == context_.settings().rank) lend_slots(request, to);
        else post(to, request, true);
    }
    void renew_slots(Customer* c) {
        if (!c || c->slots_wanted == 0 || context_.now() - c->slots_asked < slot_renewal ||
            !borrows_slots(*c))
            return;
        const int to = home(c->hash, c->set_start, c->set_size, 0);
        if (to != context_.settings().rank && !context_.stalled()) miss(peers_[to], c->slots_asked);
        if (borrows_slots(*c)) return claim_slots(*c, true);
        c->slots_wanted = c->slots_in_line = 0;  // as the home is silent
        fill_slots(*c);
    }
    // One slot each in turn, to who has waited longest first. A holder that is not heard of loses its slots.
    void lend_slots(const SlotRequest& r, int from) {
        auto& holders = ledger(r.customer, context_.settings().plans[r.plan]).slots;
        std::erase_if(holders, [this](const SlotHolder& h) { return h.until <= context_.now(); });
        auto it = std::find_if(holders.begin(), holders.end(), [&](auto& h) { return h.from == from; });
        if (it == holders.end()) it = holders.insert(it, {from, r.nonce});
        else if (static_cast<std::int32_t>(r.nonce - it->nonce) < 0) return;
        if (it->held == it->wanted) std::rotate(it, it + 1, holders.end()), it = holders.end() - 1;
        it->nonce = r.nonce, it->wanted = r.wanted, it->held = std::min(it->held, r.wanted);
        it->until = context_.now() + slot_term;
        int free = context_.settings().plans[r.plan].max_concurrency, in_line = 0;
        for (const SlotHolder& h : holders) free -= h.held, in_line += h.wanted - h.held;
        std::optional<SlotGrant> own;  // last: what it lets in may come back here
        for (SlotHolder& h : holders) {
            const bool gets = free > 0 && h.held < h.wanted;
            if (gets) ++h.held, --free, --in_line;
            if (h.wanted == 0 || !(gets || h.from == from)) continue;
            const SlotGrant grant{h.nonce, r.customer, h.held, in_line};
            if (h.from == context_.settings().rank) own = grant;
            else post(h.from, grant, true);
        }
        if (own) take_slots(*own, context_.settings().rank);
    }
    void take_slots(const SlotGrant& g, int from) {
        Customer* c = customer_of(g.customer);
        if (!c || g.nonce != c->slot_nonce || from != home(c->hash, c->set_start, c->set_size, 0)) return;
        c->slots = std::min(g.held, c->slots_wanted);
        c->slots_in_line = g.in_line, c->slots_until = c->slots_asked + slot_term;
        fill_slots(*c);
    }
    Customer* customer_of(std::uint32_t hash) {
        const auto it = std::find_if(customers_.begin(), customers_.end(),
                                     [hash](const auto& c) { return c.second.hash == hash; });
        return it == customers_.end() ? nullptr : &it->second;
    }

    // The stores cover it. While the back end looks pressed the split slice with warm-up cost binds as well.
    void admit(Request& q) {
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        const double k = q.arrival.units;
        Micros wait{0};
        if (p && pressed_ && p->rate > 0 && p->burst > 0) {
            const double stable_s = 1 / (p->rate * share(c)), warmup_s = p->burst / p->rate;
            c.limiter.resync(context_.now(), stable_s, warmup_s);
            wait = c.limiter.next_free - context_.now();
            if (context_.now() + wait > q.latest_start)
                return refuse(q, wait, RejectionReason::warm_up_limit);
            c.limiter.reserve(k, stable_s, warmup_s);
        }
        q.admitted = true;
        ++c.leaving;
        if (p && p->rate > 0 && q.in_quota) c.level -= k;
        if (p && p->ceiling_rate > 0) c.hard_reserved += k;
        prefetch(c, k);
        if (wait <= 0us) return dispatch(q);
        context_.set_timer(wait, q.arrival.id, TimerKind::release);
    }

    Micros advice(Micros wait) const { return context_.settings().may_send_retry_after ? wait : 0us; }

    // ---- choice of a host -------------------------------------------------------------------------------

    double capacity_share(const Host& h) const {
        if (h.entry.started <= 0us || context_.settings().slow_start_time <= 0us) return 1;
        const double age =
            to_seconds(context_.now() - h.entry.started) / to_seconds(context_.settings().slow_start_time);
        return age >= 1 ? 1
                        : context_.settings().slow_start_capacity +
                              (1 - context_.settings().slow_start_capacity) * std::max(0.0, age);
    }

    // A cold host gets the even share of warm ones, scaled to the capacity it surely has, as a chance: the
    // part of a request come due since it was last considered. In sum over all gateways the share holds.
    // Guards against herds on fresh hosts, retries too; harms where requests cost more than their units say.
    bool cold_turn(Host& h, double units) {
        const double rate =
            cold_caution * context_.settings().overload_multiple * capacity_share(h) * warm_rate();
        const Micros span =
            std::min(context_.now() - std::exchange(h.looked_at, context_.now()), cold_chance_most);
        return context_.uniform() * std::max(units, 1e-3) < rate * to_seconds(span);
    }
    // Units a second that a warm host gets from here, of those that are warm now: spread over the whole
    // fleet, it would keep cold hosts idle just while few warm ones carry all.
    double warm_rate() {
        if (context_.now() - warm_rate_at_ < warm_rate_valid && warm_rate_at_ > 0us) return warm_rate_;
        warm_rate_at_ = context_.now();
        warm_.settle(context_.now());
        // A gateway that has started lately has not yet filled its memory.
        const double span =
            warm_memory_s * (1 - std::exp(-std::max(to_seconds(context_.now() - context_.started_at()), 0.1) /
                                          warm_memory_s));
        return warm_rate_ = warm_.sent(context_.now()) / (span * (static_cast<double>(warm_.count()) + 1));
    }

    // Attempts out at a host by all gateways: own ones, and for each other gateway the mean of own attempts,
    // moved to what is out here as far as own attempts can tell. One rule from two gateways to hundreds.
    double load(const Host& h) const {
        const double own = h.out, hosts = static_cast<double>(std::max<std::size_t>(1, order_.size()));
        const double mean =
            work_out_.value(context_.now(), warm_memory_s) / (warm_memory_s * hosts);  // Little's law
        return own + (context_.settings().instances - 1) * mean * (own + own_view) / (mean + own_view);
    }

    // The most attempts out at a host: its own limit as far as its answers are known, else the fleet's.
    double limit(const Host& h) const {
        const double known = h.answers.value(context_.now(), long_memory_s),
                     trust = known / (known + limit_trust);
        return trust * h.out_limit + (1 - trust) * limit_;
    }

    const RequestClass& class_of(const Request& q) const {
        return context_.settings().classes[q.arrival.request_class];
    }
    static HostPlace place_of(const Host& h) { return {h.entry.zone, h.entry.cell}; }
    bool may_send(const Request& q, const Host& h) const {
        return rules_.check_send(class_of(q), q.history, place_of(h), context_.now()) == SendVerdict::allowed;
    }

    // Requests at a host: by its own word while that is fresh, with what went there since, else by estimate.
    double held(const Host& h) const {
        const double age = to_seconds(context_.now() - h.reported_at) / to_seconds(report_valid);
        if (h.reported < 0 || age >= 1) return load(h);
        return (1 - age) * h.reported + age * load(h);
    }
    double cost(const Host& h) const {
        const double known = h.answers.value(context_.now(), long_memory_s);
        const double like = std::max(answer_s_, 1e-3);
        const double answer = (known * h.answer_s + limit_trust * like) / (known + limit_trust);
        return (held(h) + 1) * answer / (std::max(h.entry.weight, 1e-3) * capacity_share(h));
    }

    // The best two of the first hosts in this gateway's own order that could take it. A stable few, so that
    // hundreds of gateways do not fill every host's connections, and each learns more of those it uses.
    std::vector<Host*> pick(const Request& q) {
        std::pair<double, Host*> best{0, nullptr}, second{0, nullptr};
        std::size_t seen = 0;
        auto behind = order_.behind_front();
        for (std::size_t i = 0; i < order_.size() && seen < sampled; ++i) {
            const bool front = i < order_.front_size();
            if (front) order_.swap_in_front(i, i + context_.random_bits() % (order_.front_size() - i));
            Host& h = front ? order_.front(i) : **behind++;
            if (!h.usable() || context_.now() < h.blocked_until || !may_send(q, h)) continue;
            if (known(h) && held(h) >= limit(h)) continue;
            ++seen;
            const bool cold = capacity_share(h) < 1 && warm_.count() > 0;
            if (cold && cold_turn(h, q.arrival.units)) return {&h};
            if (cold) continue;
            double c = cost(h) * (0.95 + 0.1 * context_.uniform());
            if (h.entry.zone != context_.settings().zone) c *= 1 + 5 * context_.settings().cross_zone_cost;
            if (h.entry.host == q.last_host) c *= 4;
            // Turned this kind away lately while it served others: whatever the cause, those keep the host.
            if (const auto it = h.shunned.find(q.kind); it != h.shunned.end() && context_.now() < it->second)
                c *= shun_cost;
            if (!best.second || c < best.first) second = best, best = {c, &h};
            else if (!second.second || c < second.first) second = {c, &h};
        }
        std::vector<Host*> pair{best.second, second.second};
        std::erase(pair, nullptr);
        return pair;
    }

    // Sends if a host can take it, or asks the best two how they are; else the request waits for one until
    // its latest start. Probes stand in for answers where this gateway sees few of a host's.
    bool try_send(Request& q) {
        q.pair = pick(q);
        if (q.pair.empty()) return false;
        if (known(*q.pair.front())) return send_to(q, *q.pair.front()), true;
        if (q.rounds >= probe_rounds || !window_open()) return q.rounds = probe_rounds, false;
        // Hosts bear the probes of all gateways. Guards against many that see little each and probe for every
        // request, those that wait again and again; harms by a choice on the own estimate alone.
        if (probes_ < static_cast<double>(q.pair.size())) {
            Host& h = *q.pair.front();
            return held(h) < limit(h) && (send_to(q, h), true);
        }
        probes_ -= static_cast<double>(q.pair.size());
        ++q.rounds;
        q.waiting = false, q.probing = true;
        q.probes_out = static_cast<int>(q.pair.size());
        for (Host* h : q.pair) {
            h->probed_for.push_back(q.arrival.id);
            if (h->probed_for.size() == 1) context_.emit(CheckHealth{h->entry.host});
        }
        context_.set_timer(probe_due, q.arrival.id, TimerKind::health_check);
        return true;
    }
    // Own attempts out against this gateway's share of what the fleet takes; a share below one is a chance.
    // Guards against hundreds that each see a host without a queue; harms where the others stand idle.
    bool window_open() { return out_ + context_.uniform() < window(); }
    double window() const {
        const double even = limit_ * static_cast<double>(order_.size()) / context_.settings().instances;
        return even + window_slack * std::sqrt(even);
    }
    bool known(const Host& h) const {
        return !context_.settings().may_check_health ||
               h.answers.value(context_.now(), long_memory_s) >= known_answers;
    }
    // By a fresh word of its own a host has room while nothing queues there, whatever the limits learned.
    bool takes(const Host& h) const {
        const bool fresh = h.reported_at > 0us && context_.now() - h.reported_at < report_valid;
        return h.usable() && context_.now() >= h.blocked_until && (fresh || known(h)) &&
               ((fresh && h.idle && !h.tells_held) || held(h) < limit(h));
    }

    void on(const HealthCheckEnded& e) {
        const auto it = hosts_.find(e.host);
        if (it == hosts_.end()) return;
        Host& h = it->second;
        const bool good = e.outcome == Outcome::success;
        if (good) note_report(h, e.report);
        else h.blocked_until = std::max(h.blocked_until, context_.now() + report_valid);
        for (const RequestId id : std::exchange(h.probed_for, {})) {
            const auto found = requests_.find(id);
            if (found == requests_.end() || !found->second.probing) continue;
            Request& q = found->second;
            if (!std::count(q.pair.begin(), q.pair.end(), &h)) continue;
            --q.probes_out;
            if (good && h.idle && takes(h) && may_send(q, h)) send_to(q, h);
            else if (q.probes_out <= 0) choose(q);
        }
        pump();
    }
    void note_report(Host& h, const LoadReport& r) {
        // Where hosts tell of themselves, a report that can't be read says nothing, least of all idleness.
        if (context_.settings().reports == LoadReports::on_probe && r.queued < 0 && r.outstanding < 0) return;
        h.reported_at = context_.now(), h.tells_held = r.outstanding >= 0;
        h.idle = r.queued < 0.5;  // also where the site's hosts tell nothing: the first to answer is taken
        h.reported = r.outstanding >= 0 ? r.outstanding : r.queued >= 0 ? r.queued + load(h) : -1;
    }
    // The probes are in, or waited for long enough: the better of those that answered.
    void choose(Request& q) {
        Host* best = nullptr;
        for (Host* h : q.pair)
            if (takes(*h) && may_send(q, *h) && (!best || cost(*h) < cost(*best))) best = h;
        if (best && context_.now() <= q.latest_start) return send_to(q, *best);
        q.probing = false;
        dispatch(q);
    }

    void send_to(Request& q, Host& h) {
        Customer& c = *q.customer;
        const Plan* p = plan_of(c);
        if (!q.sent && p && p->ceiling_rate > 0) {
            touch(c);
            c.hard_level -= q.arrival.units, c.hard_reserved -= q.arrival.units;
        }
        if (!q.sent) retry_earned_.add(1, context_.now(), long_memory_s), --c.leaving;
        q.sent = true;
        q.waiting = q.probing = false, q.rounds = 0;
        q.history.begin_attempt(q.history.count(), place_of(h), context_.now());
        ++c.open;
        q.last_host = h.entry.host, q.last_sent = context_.now();
        if (h.reported >= 0) ++h.reported;
        if (h.out++ == 0) h.last_answer = context_.now();
        ++out_;
        mean_units_ += answer_weight * (q.arrival.units - mean_units_);
        h.sent.add(q.arrival.units, context_.now(), warm_memory_s);
        warm_.add_sent(h, q.arrival.units, context_.now());
        const AttemptReason cause = std::exchange(q.next_attempt, AttemptReason::retry);
        context_.emit(
            SendAttempt{q.arrival.id, h.entry.host, std::max(q.deadline - context_.now(), 1us), cause});
        const double aim = to_seconds(context_.settings().classes[q.arrival.request_class].latency_objective);
        context_.set_timer(
            to_micros(std::clamp(silent_answers * answer_s_, check_earliest * aim, check_latest * aim)),
            q.arrival.id, TimerKind::silence_check);
    }

    void dispatch(Request& q) {
        if (context_.now() <= q.latest_start && try_send(q)) return;
        if (context_.now() >= q.latest_start) return finish(q, RejectionReason::no_host_available);
        if (!std::exchange(q.waiting, true)) waiting_.push_back(q.arrival.id);
        context_.set_timer(std::min(wait_again, q.latest_start - context_.now()), q.arrival.id,
                           TimerKind::expiry);
        // Of more that wait than hosts could soon take, the oldest is answered now, so that its client can
        // come again in time. Guards against a line that only ages; harms if many places come free at once.
        if (static_cast<double>(waiting_.size()) <= waiting_for_each_host * order_.size() + 1) return;
        const auto it = requests_.find(waiting_.front());
        waiting_.pop_front();
        if (it != requests_.end() && it->second.waiting) finish(it->second, RejectionReason::queue_full);
    }

    // Lets waiting requests go while hosts have room, newest first: in order, all would leave at their last
    // moment. Guards against any lasting shortage of hosts; harms the few that wait in a short one.
    void pump() {
        for (std::size_t i = waiting_.size(); i-- > 0;) {
            const auto it = requests_.find(waiting_[i]);
            const bool waits = it != requests_.end() && it->second.waiting;
            if (waits && !(context_.now() <= it->second.latest_start && try_send(it->second))) continue;
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    // Final answer: a refusal where it is sure or harmless that nothing ran, else a failure.
    void finish(Request& q, RejectionReason cause) {
        if (rules_.may_refuse(class_of(q), q.history))
            return refuse(q, q.sent ? 0us : to_micros(answer_s_), cause);
        context_.emit(FailRequest{q.arrival.id, cause});
        forget(q);
    }
    void forget(Request& q) {
        Customer& c = *q.customer;
        if (const Plan* p = plan_of(c); p && q.admitted && !q.sent) {  // gives its units back
            if (q.in_quota && p->rate > 0) c.level += q.arrival.units;
            if (p->ceiling_rate > 0) c.hard_reserved -= q.arrival.units;
        }
        if (q.admitted && !q.sent) --c.leaving;
        --c.requests;
        if (q.history.in_flight() > 0) left_out_[q.arrival.id] = {&c, q.history.in_flight()};
        requests_.erase(q.arrival.id);
        fill_slots(c);
    }

    // ---- outcomes and health ----------------------------------------------------------------------------

    // Refusals and time-outs among fast answers tell of one kind of request, not of load.
    bool fast(double aim_s) const { return answer_s_ <= limit_slow_share * aim_s; }

    void judge(Host& h, const AttemptEnded& a, double aim_s) {
        const bool good = a.outcome == Outcome::success;
        const double took = to_seconds(a.elapsed);
        if (good) {
            h.failures = h.ejections = 0;
            h.answer_s = h.answer_s > 0 ? h.answer_s + answer_weight * (took - h.answer_s)
                                        : (answer_s_ > 0 ? 0.8 * answer_s_ + 0.2 * took : took);
            answer_s_ = answer_s_ > 0 ? answer_s_ + answer_weight * (took - answer_s_) : took;
        }
        // A time-out counts as slow or bad by its length, and as the host's failure only if that was silent
        // all along. Guards against clients of little patience and costly requests putting good hosts out.
        const bool late = a.outcome == Outcome::timeout,
                   silent = late && h.last_answer + a.elapsed < context_.now();
        const bool bad =
            !fast(aim_s) && (a.outcome == Outcome::rejected || (late && took > limit_slow_share * aim_s));
        h.answers.add(1, context_.now(), long_memory_s);
        const bool cut = bad || (good && took > limit_slow_share * aim_s);
        const auto learn = [&](double& most, double least, bool near) {
            if (cut) most = std::max(least, most * limit_cut);
            else if (good && near)
                most = std::min(limit_most, most + std::min(limit_growth / most, most / 4));
        };
        learn(h.out_limit, limit_least, load(h) + 2 > limit(h));
        learn(limit_, window_least, 2 * (out_ + 1) > window());
        if (good || bad) {
            const bool slow = a.outcome == Outcome::rejected || took > slow_share_of_aim * aim_s;
            slow_share_ += slow_weight * (slow - slow_share_);
            pressed_ = slow_share_ > (pressed_ ? relieved_below : pressed_above);
        }
        if (a.outcome == Outcome::error || silent) fail(h, 1);
        // One broken connection tells of that connection only: a kept one may end under a request. A dead
        // host breaks all it holds, which adds up at once, and takes no new one. Guards against single resets
        // putting every host out; harms by a request or two that find out.
        if (a.outcome == Outcome::reset) fail(h, 1);
        if (a.outcome == Outcome::connect_failed) fail(h, eject_after);
    }
    void fail(Host& h, int weight) {
        h.failures += weight;
        if (h.failures < eject_after || context_.now() < h.blocked_until) return;
        h.blocked_until =
            context_.now() + std::min(eject_most, eject_first * (1 << std::min(h.ejections, 4)));
        ++h.ejections;
    }

    void on(const AttemptEnded& a) {
        const auto host = hosts_.find(a.host);
        const auto found = requests_.find(a.id);
        Customer* customer = nullptr;
        if (host != hosts_.end()) {
            if (host->second.out > 0) --host->second.out, --out_;
            work_out_.add(to_seconds(a.elapsed), context_.now(), warm_memory_s);
            const double aim =
                found == requests_.end()
                    ? aim_s()
                    : to_seconds(
                          context_.settings().classes[found->second.arrival.request_class].latency_objective);
            if (a.report.queued >= 0 || a.report.outstanding >= 0) note_report(host->second, a.report);
            if (a.outcome == Outcome::success || a.outcome == Outcome::error)
                host->second.last_answer = context_.now();
            if (!context_.stalled()) judge(host->second, a, aim);
            if (a.outcome == Outcome::rejected && fast(aim) && found != requests_.end())
                host->second.shunned[found->second.kind] = context_.now() + shun_for;
        }
        if (found != requests_.end()) {
            Request& q = found->second;
            customer = q.customer;
            q.history.end_attempt(a.attempt, a.outcome);
            customer->open = std::max(0, customer->open - 1);
            if (a.actual_units > 0 && context_.settings().units_settled_later && q.in_quota)
                q.customer->level += q.arrival.units - a.actual_units;
            if (a.request_completed) forget(q);
            else if (q.history.in_flight() == 0) again(q);
        } else if (const auto left = left_out_.find(a.id); left != left_out_.end()) {
            customer = left->second.customer;
            customer->open = std::max(0, customer->open - 1);
            if (--left->second.out == 0) left_out_.erase(left);
        }
        if (customer) fill_slots(*customer);
        pump();
    }
    void on(const ResponseStarted& e) {
        if (const auto host = hosts_.find(e.host); host != hosts_.end())
            host->second.last_answer = context_.now();
        if (const auto found = requests_.find(e.id); found != requests_.end()) forget(found->second);
    }
    double aim_s() const {
        return context_.settings().classes.empty()
                   ? 1
                   : to_seconds(context_.settings().classes.front().latency_objective);
    }

    // A further attempt, only from the retry budget and only if it can still be in time.
    void again(Request& q) {
        const RequestClass& k = class_of(q);
        // At the host of the last attempt, of whose group a repeat's host must be.
        const RequestHistory::Attempt& last = q.history.attempts().back();
        const SendVerdict verdict = rules_.check_send(k, q.history, {last.zone, last.cell}, context_.now());
        if (verdict != SendVerdict::allowed) return finish(q, RejectionReason::retry_not_allowed);
        if (context_.now() >= q.latest_start) return finish(q, RejectionReason::too_late_to_retry);
        // Turned away among fast answers: another host may well take it, and no work is added.
        const bool spare = !q.history.may_have_run() && fast(to_seconds(k.latency_objective));
        if (!spare && !take_retry()) return finish(q, RejectionReason::retry_budget_exhausted);
        dispatch(q);
    }
    bool take_retry() {
        const double earned = retry_earned_.value(context_.now(), long_memory_s) * retry_share + retry_floor;
        if (retry_spent_.value(context_.now(), long_memory_s) + 1 > earned) return false;
        retry_spent_.add(1, context_.now(), long_memory_s);
        return true;
    }

    // Expected answers are missing: a second copy, or where none may be out a cancel, and the host is
    // ejected. Guards against silent death, cut links, stalls; harms a slow lone request.
    void check(Request& q) {
        if (q.history.in_flight() == 0 || q.waiting) return;
        if (context_.stalled())
            return context_.set_timer(Context::heartbeat_period(), q.arrival.id, TimerKind::silence_check);
        const auto it = hosts_.find(q.last_host);
        if (it == hosts_.end()) return;
        Host& h = it->second;
        const double quiet = to_seconds(context_.now() - std::max(h.last_answer, q.last_sent));
        const double missing = h.out * quiet / std::max(h.answer_s > 0 ? h.answer_s : answer_s_, 1e-3);
        if (missing < silent_answers || quiet < check_earliest * aim_s()) return;
        fail(h, eject_after);
        const bool safe = class_of(q).idempotency == Idempotency::idempotent;
        if (!safe || q.history.count() >= context_.settings().max_attempts ||
            context_.now() >= q.latest_start)
            return;
        if (context_.settings().may_hedge && take_retry()) {
            q.next_attempt = AttemptReason::hedge;
            try_send(q);
        } else if (!context_.settings().may_hedge && context_.settings().may_cancel)
            context_.emit(CancelAttempt{q.arrival.id, q.history.count() - 1});
    }

    // Nobody waits for its attempts any more. Guards against hosts that work on for clients who have left;
    // harms by a handshake for each connection that ends with them.
    void on(const ClientDisconnected& e) {
        const auto it = requests_.find(e.id);
        if (it == requests_.end()) return;
        const RequestHistory& history = it->second.history;
        for (int attempt = 0;
             history.in_flight() > 0 && context_.settings().may_cancel && attempt < history.count();
             ++attempt)
            context_.emit(CancelAttempt{e.id, attempt});
        forget(it->second);
    }

    // ---- the list of hosts ------------------------------------------------------------------------------

    void on(const HostsChanged& e) {
        for (auto& [name, h] : hosts_)
            if (e.complete_list) h.entry.state = HostState::gone, gone_.insert(name);
        for (const HostEntry& entry : e.entries) {
            auto [it, fresh] = hosts_.try_emplace(entry.host);
            Host& h = it->second;
            const Micros started = believable_start(h, entry, fresh);
            if (fresh || entry.started != h.told_start) start_anew(h, entry.host);
            // A host put back may have been restarted unheard of: until the list names a later start, that
            // counts.
            const auto back = put_back_.find(entry.host);
            h.entry = entry, h.told_start = entry.started;
            h.entry.started = back == put_back_.end() ? started : std::max(started, back->second);
            if (fresh) order_.insert(h);
            if (h.entry.state == HostState::gone) gone_.insert(entry.host);
            else gone_.erase(entry.host);
            note_warmth(h);
        }
        if (e.complete_list)
            for (const std::string& name : gone_) note_warmth(hosts_.at(name));
        // The first one is the list known at the start, of any age.
        if (std::exchange(knows_a_list_, true)) lists_heard_at_ = context_.now();
        drop_gone();
        pump();
    }
    // A start is told by a wall clock, which may be stepped. Guards against a host that was seen to restart
    // and passes for warm, and one that seems to start in the future; harms by a cold time for a start told
    // very late.
    Micros believable_start(const Host& h, const HostEntry& entry, bool fresh) const {
        const auto left = left_hosts_.find(entry.host);
        const bool known = !fresh || left != left_hosts_.end();
        const Micros former = fresh && known ? left->second.told_start : h.told_start;
        if (!fresh && entry.started == former) return h.entry.started;
        const Micros told = std::min(entry.started, context_.now());
        const bool restarted = known && entry.started > 0us && entry.started != former;
        return restarted && told < lists_heard_at_ - told_late_most ? context_.now() : told;
    }
    void start_anew(Host& h, const std::string& name) {
        warm_.remove(h, context_.now());
        h.out = std::exchange(h, Host{}).out;
        h.looked_at = h.last_answer = context_.now();
        h.out_limit = limit_start;
        h.place = name_hash(name + ' ' + std::to_string(context_.settings().rank));
        h.banned = banned_.count(name) > 0;
    }
    // A ban holds until operators lift it. The host comes back as one that starts now: they restart it
    // meanwhile, and the list tells so late or never. Harms by a cold time for one that was not restarted.
    void on(const HostBanned& e) {
        if (e.banned ? !banned_.insert(e.host).second : banned_.erase(e.host) == 0) return;
        if (!e.banned && context_.settings().slow_start_time > 0us) put_back_[e.host] = context_.now();
        std::erase_if(put_back_, [this](const auto& b) {
            return context_.now() - b.second > context_.settings().slow_start_time;
        });
        if (const auto it = hosts_.find(e.host); it != hosts_.end()) {
            Host& h = it->second;
            if (e.banned) h.banned = true;
            else {
                const HostEntry entry = h.entry;
                const Micros told = h.told_start;
                start_anew(h, e.host);
                h.entry = entry, h.told_start = told;
                h.entry.started = std::max(context_.now(), entry.started);
            }
            note_warmth(h);
        }
        list_hosts();
        pump();
    }
    // Those that are gone end with their last attempt.
    void drop_gone() {
        const auto ended = [](const Host* h) { return h->entry.state == HostState::gone && h->out == 0; };
        if (!gone_.empty())
            for (auto& [id, q] : requests_) std::erase_if(q.pair, ended);
        std::erase_if(gone_, [&](const std::string& name) {
            const auto it = hosts_.find(name);
            if (!ended(&it->second)) return false;
            warm_.remove(it->second, context_.now());
            order_.erase(it->second);
            left_hosts_[name] = {it->second.told_start, context_.now()};
            hosts_.erase(it);
            return true;
        });
        list_hosts();
    }
    void note_warmth(Host& h) {
        const bool cold_once = h.entry.started > 0us && context_.settings().slow_start_time > 0us;
        warm_.update(h, cold_once ? h.entry.started + context_.settings().slow_start_time : 0us,
                     context_.now());
    }
    void list_hosts() {
        order_.restart();
        warm_.settle(context_.now());
        warm_rate_at_ = 0us;
    }

    // ---- leases among gateways ------------------------------------------------------------------------

    void on(const MessageArrived& m) {
        if (m.from < 0 || m.from >= context_.settings().instances || m.from == context_.settings().rank ||
            handed_)
            return;
        const auto messages = unpack(m.bytes);
        if (!messages) return;
        taken_in_.add(1, context_.now(), intake_memory_s);
        Peer& peer = peers_[m.from];
        peer.lost = 0, peer.silent_until = 0us;
        if (context_.now() - heard_since_ >= silent_for)
            heard_before_ = std::exchange(heard_, 0), heard_since_ = context_.now();
        if (std::exchange(peer.heard, context_.now()) < heard_since_) ++heard_;
        for (const PeerMessage& message : *messages) {
            const auto sound = [this](const auto& r) {
                return r.plan < static_cast<int>(context_.settings().plans.size()) && r.set_size >= 1 &&
                       r.set_size <= context_.settings().instances;
            };
            if (const auto* request = std::get_if<LeaseRequest>(&message); request && sound(*request))
                post(m.from, grant(*request), request->need > 0 || request->hard > 0);
            if (const auto* given = std::get_if<LeaseGrant>(&message)) take_grant(m.from, *given);
            if (const auto* slots = std::get_if<SlotRequest>(&message); slots && sound(*slots))
                lend_slots(*slots, m.from);
            if (const auto* lent = std::get_if<SlotGrant>(&message)) take_slots(*lent, m.from);
        }
    }

    // Messages to a peer go out at once while there is room in its intake, as far as the own one tells; the
    // rest is bundled. Guards against requests lost in a full intake; harms by the wait.
    void post(int to, const PeerMessage& message, bool urgent) {
        Peer& peer = peers_[to];
        if (peer.outbox.size() < outbox_most) peer.outbox.push_back(message);
        if (urgent) flush(to, peer);
        else flush_in(to, peer, no_hurry());
    }
    double message_rate() const {
        const double talkers = std::clamp(std::max(heard_, heard_before_), 1, context_.settings().instances);
        const double most = context_.settings().messages_per_s * intake_share,
                     taken = taken_in_.value(context_.now(), intake_memory_s);
        return std::max({1.0, most / talkers, most - taken / intake_memory_s});
    }
    // How long what no request waits for may lie, to go along with what one does.
    Micros no_hurry() const { return to_micros(1 / (message_rate() * no_hurry_share)); }
    void flush(int to, Peer& peer) {
        const double rate = message_rate();
        peer.tokens =
            std::min(message_burst, peer.tokens + rate * to_seconds(context_.now() - peer.tokens_at));
        peer.tokens_at = context_.now();
        while (!peer.outbox.empty() && peer.tokens >= 1) {
            peer.tokens -= 1;
            context_.emit(SendMessage{to, pack(peer.outbox)});
            const auto sent = static_cast<std::ptrdiff_t>(std::min(peer.outbox.size(), most_together));
            peer.outbox.erase(peer.outbox.begin(), peer.outbox.begin() + sent);
        }
        if (!peer.outbox.empty()) flush_in(to, peer, to_micros((1 - peer.tokens) / rate));
    }
    void flush_in(int to, Peer& peer, Micros wait) {
        if (peer.flush_at > context_.now() && peer.flush_at <= context_.now() + wait) return;
        peer.flush_at = context_.now() + wait;
        context_.set_timer(wait, static_cast<RequestId>(to), TimerKind::flush);
    }

    void take_grant(int from, LeaseGrant given) {
        const auto it = leases_due_.find(given.nonce);
        if (it == leases_due_.end() || it->second.to != from) return;
        if (context_.now() - it->second.sent > 2 * grant_due)
            given.hard = 0;  // the granter's share may have refilled
        const bool overdue = it->second.overdue, ahead = it->second.ahead;
        Customer& c = close(it);
        if (!overdue && !ahead) receive(c, given);
        // Its units are off the home's ledger, so that nobody else has them. Word that there is none is out
        // of date by now: a later request has the say.
        else if (given.units > 0 || given.hard > 0) credit(c, given);
    }

    // A lease request unanswered in time: once more, then the next home.
    void lease_overdue(std::uint32_t nonce) {
        const auto it = leases_due_.find(nonce);
        if (it == leases_due_.end()) return;
        if (context_.stalled()) return context_.set_timer(grant_due, nonce, TimerKind::lease_request);
        miss(peers_[it->second.to], it->second.sent);
        Customer& c = *it->second.customer;
        it->second.overdue = true, ++c.overdue;
        if (it->second.ahead) c.prefetching = false;
        else c.nonce = 0, acquire(c);
    }
    // Who was heard since is there: the request or its grant was lost, or waits its turn. Guards against
    // successors that give a second time what the home gives.
    void miss(Peer& peer, Micros since) {
        if (peer.heard < since && ++peer.lost >= silent_after)
            peer.silent_until = context_.now() + silent_for;
    }
    Customer& close(std::unordered_map<std::uint32_t, PendingLease>::iterator lease) {
        Customer& c = *lease->second.customer;
        if (lease->second.overdue) --c.overdue;
        else if (lease->second.ahead) c.prefetching = false;
        else c.nonce = 0;
        leases_due_.erase(lease);
        return c;
    }

    // ---- upgrades ---------------------------------------------------------------------------------------

    // The stores go to the next process, but for what requests let in here are still to take; who waits for a
    // lease is refused. Guards against two processes that spend one quota; harms those few requests.
    void on(const HandedOver& e) {
        if (!std::exchange(handed_, e.away) && e.away) {
            context_.emit(SaveSnapshot{state()});
            ledgers_.clear(), leases_due_.clear();
            std::vector<RequestId> lack;
            for (auto& [name, c] : customers_) {
                c.nonce = 0, c.prefetching = false, c.overdue = 0;
                for (auto* line : {&c.awaiting, &c.held}) {
                    lack.insert(lack.end(), line->begin(), line->end());
                    line->clear();
                }
            }
            std::sort(lack.begin(), lack.end());
            for (const RequestId id : lack)
                if (const auto it = requests_.find(id); it != requests_.end())
                    refuse(it->second, 0us, RejectionReason::handed_over);
        }
        // Taken back: as after a start, a former life may have spent all that is not left here.
        if (!e.away) context_.restart_at(context_.now());
        for (auto& [name, c] : customers_)
            c.touched = context_.now(), c.level = 0, c.hard_level = c.hard_reserved;
    }
    template <class S>
    void common_state(S& s) {
        context_.serialize_nonce(s);
        s(answer_s_, slow_share_, pressed_, mean_units_);
        context_.serialize_start(s);
        s(limit_, work_out_, retry_earned_, retry_spent_, banned_, put_back_);
    }
    std::string state() {
        SnapshotWriter w;
        Micros now = context_.now();
        w(state_version, now);
        common_state(w);
        w(hosts_, ledgers_, customers_);
        return w.take();
    }
    void on(const RestoreSnapshot& e) {
        try {
            take_over(e.bytes);
        } catch (const std::out_of_range&) {
            // Cut short: what was read serves, the rest is as after a start.
        }
        // What was let in and never sent there takes nothing, but counts as out.
        for (auto& [name, c] : customers_) {
            c.hard_level -= std::exchange(c.hard_reserved, 0), c.open += std::exchange(c.leaving, 0);
            if (c.open > 0) inherited_.emplace_back(&c, c.open);
        }
        context_.set_timer(to_micros(inherited_answers * answer_s_), 0, TimerKind::inherited_in_flight);
        list_hosts();
    }
    void take_over(const std::string& bytes) {
        SnapshotReader r(bytes);
        std::uint32_t version = 0;
        if (r(version), version != state_version) return;
        Micros left_at{0};
        r(left_at);
        r.move_times(context_.now() - left_at);
        common_state(r);
        std::map<std::string, Host> left;
        r(left);
        for (auto& [name, seen] : left) {
            const auto it = hosts_.find(name);
            // A host that the list here says to have restarted since is another one.
            if (it == hosts_.end()) continue;
            Host& h = it->second;
            h.entry.started = seen.entry.started = std::max(seen.entry.started, h.entry.started);
            if (h.told_start > seen.told_start) continue;
            seen.entry = h.entry, seen.place = h.place, seen.out = h.out;
            warm_.remove(h, context_.now());
            h = std::move(seen);
            note_warmth(h);
        }
        for (auto& [name, h] : hosts_)
            if ((h.banned = banned_.count(name) > 0)) warm_.remove(h, context_.now());
        r(ledgers_, customers_);
    }
    // The attempts that the former process had out are over by now, as far as this one can tell.
    void end_inherited() {
        for (const auto& [customer, open] : std::exchange(inherited_, {}))
            customer->open = std::max(0, customer->open - open), fill_slots(*customer);
    }

    // ---- timers -----------------------------------------------------------------------------------------

    void on(const TimerFired& t) {
        const auto [kind, about] = read_timer_token(t.token);
        if (kind == TimerKind::lease_request) return lease_overdue(static_cast<std::uint32_t>(about));
        if (kind == TimerKind::flush) {
            const auto peer = peers_.find(static_cast<int>(about));
            if (peer != peers_.end() && context_.now() >= peer->second.flush_at)
                flush(peer->first, peer->second);
            return;
        }
        if (kind == TimerKind::heartbeat && about == 0) return beat();
        if (kind == TimerKind::inherited_in_flight) return end_inherited();
        if (kind == TimerKind::permit_renewal)
            return renew_slots(customer_of(static_cast<std::uint32_t>(about)));
        const auto it = requests_.find(about);
        if (it == requests_.end()) return pump();
        Request& q = it->second;
        if (kind == TimerKind::deadline) finish(q, RejectionReason::deadline_exceeded);
        else if (kind == TimerKind::release) dispatch(q);
        else if (kind == TimerKind::expiry && q.waiting) q.rounds = 0, dispatch(q);
        // A grant that comes later would find it too late to leave. Guards against lost requests and slow
        // homes that hold a refusal back until the client is about to give up.
        else if (kind == TimerKind::expiry && !q.admitted && context_.now() >= q.latest_start)
            finish(q, RejectionReason::no_lease_in_time);
        else if (kind == TimerKind::silence_check) check(q);
        else if (kind == TimerKind::health_check && q.probing) choose(q);
        pump();
    }

    void beat() {
        context_.heartbeat();
        if (context_.now() - swept_at_ < sweep_period) return;
        swept_at_ = context_.now();
        drop_gone();  // and ages out who is idle; a customer that still has requests in hand stays
        std::erase_if(left_hosts_,
                      [this](const auto& l) { return context_.now() - l.second.left >= left_hosts_kept; });
        std::erase_if(peers_,
                      [this](const auto& p) { return context_.now() - p.second.tokens_at >= idle_after_; });
        std::erase_if(ledgers_,
                      [this](const auto& l) { return context_.now() - l.second.touched >= idle_after_; });
        for (auto it = leases_due_.begin(); it != leases_due_.end();) {
            const auto lease = it++;  // in any order: nothing is done but to forget
            if (lease->second.overdue && context_.now() - lease->second.sent >= sweep_period) close(lease);
        }
        std::erase_if(customers_, [this](const auto& c) {
            return context_.now() - c.second.last_use >= idle_after_ && c.second.requests == 0 &&
                   c.second.open == 0 && c.second.nonce == 0 && !c.second.prefetching &&
                   c.second.overdue == 0;
        });
    }

    Context context_;
    const RequestRules rules_;
    Micros idle_after_ = idle_least;
    Micros warm_rate_at_{0}, swept_at_{0};
    std::unordered_map<std::string, Customer> customers_;
    std::unordered_map<std::uint32_t, Ledger> ledgers_;           // by hash of the customer's name
    std::unordered_map<std::uint32_t, PendingLease> leases_due_;  // by nonce
    std::unordered_map<int, Peer> peers_;                         // those talked with
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<RequestId, LeftOut> left_out_;
    std::map<std::string, Host> hosts_;
    std::set<std::string> banned_;            // hosts that operators have taken out
    std::map<std::string, Micros> put_back_;  // and put back within the last cold time
    std::deque<RequestId> waiting_;
    std::set<std::string> gone_;  // hosts that are gone, but for attempts out
    struct LeftHost {
        Micros told_start, left;
    };
    std::map<std::string, LeftHost> left_hosts_;  // lately
    Micros lists_heard_at_{0};                    // the latest, but for the one known at the start
    bool knows_a_list_ = false;
    HostOrder<Host> order_{kept};
    WarmHosts<Host> warm_{warm_memory_s};
    DecayingCounter taken_in_;          // messages
    int heard_ = 0, heard_before_ = 0;  // peers that spoke in this window and the one before
    Micros heard_since_{0};
    DecayingCounter work_out_, retry_earned_, retry_spent_;
    double probes_ = probes_kept;  // that may be sent
    double answer_s_ = 0, slow_share_ = 0, mean_units_ = 1, warm_rate_ = 0, limit_ = limit_least;
    bool pressed_ = false, handed_ = false;
    std::vector<std::pair<Customer*, int>> inherited_;  // attempts of the former process
    int out_ = 0;                                       // own attempts out
};

Gateway::Gateway(Settings settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(Micros now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace gateway::decision

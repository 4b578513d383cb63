// The order of hosts under changes of the endpoint list: which hosts are selected, and how much work one
// change takes.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "gateway/interface.h"
#include "host_index.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// FNV-1a hash of the module's decisions.
class Digest {
  public:
    void add(const std::string& text) {
        for (const char character : text)
            value_ = (value_ ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    void add(const Action& action) {
        add(std::to_string(action.index()));
        if (const auto* sent = std::get_if<SendAttempt>(&action)) add(std::to_string(sent->id) + sent->host);
        if (const auto* rejected = std::get_if<RejectRequest>(&action)) add(std::to_string(rejected->id));
        if (const auto* cancelled = std::get_if<CancelAttempt>(&action)) add(std::to_string(cancelled->id));
    }
    std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 14695981039346656037ULL;
};

// A gateway under a stream of requests, with hosts that restart, drain, leave, come back, are banned and are
// listed again at random.
class ChurnedGateway {
  public:
    ChurnedGateway() : gateway_(settings(), 7, now_) {
        for (int host = 0; host < host_count; ++host) listed_.emplace_back(entry(host, 0us));
        HostsChanged list{true, listed_};
        handle(list);
    }
    static Settings settings() {
        Settings settings;
        settings.instances = 5;
        settings.zone = "a";
        settings.classes = {
            {"read", Idempotency::idempotent, DeduplicationScope::all, 250ms, 600ms, 0us, 1, 0}};
        settings.max_attempts = 3;
        settings.may_hedge = true;
        settings.may_cancel = true;
        settings.tick = 2ms;
        settings.slow_start_time = 3s;
        settings.overload_time = 1s;
        settings.overload_multiple = 2.5;
        settings.slow_start_capacity = 0.2;
        return settings;
    }
    void step() {
        now_ += Micros(500 + random_() % 4000);
        while (!due_events_.empty() && due_events_.begin()->first <= now_) {
            const Event event = due_events_.begin()->second;
            due_events_.erase(due_events_.begin());
            handle(event);
        }
        send_request();
        if (random_() % 8 == 0) change_random_host();
        if (random_() % 200 == 0) handle(HostsChanged{true, listed_});
        if (random_() % 100 == 0)
            handle(HostBanned{listed_[random_() % host_count].host, random_() % 2 == 0});
    }
    std::uint64_t digest() const { return digest_.value(); }
    std::uint64_t sent() const { return sent_; }

  private:
    static constexpr int host_count = 60;

    HostEntry entry(int host, Micros started) const {
        return {std::string("h").append(std::to_string(host)),
                host % 2 == 0 ? "a" : "b",
                "m",
                host / 4,
                HostState::up,
                1,
                started};
    }
    void send_request() {
        RequestArrived arrival;
        arrival.id = next_request_++;
        arrival.customer = "c";
        arrival.plan = -1;
        arrival.time_left = 600ms;
        arrival.units = 1 + static_cast<double>(random_() % 3);
        handle(arrival);
    }
    void change_random_host() {
        const auto host = random_() % host_count;
        HostEntry changed = listed_[host];
        switch (random_() % 4) {
            case 0:
                changed.state = HostState::draining;
                break;
            case 1:
                changed.state = HostState::gone;
                break;
            default:
                changed = listed_[host] = entry(static_cast<int>(host), now_ - Micros(random_() % 1000000));
        }
        handle(HostsChanged{false, {changed}});
    }
    void handle(const Event& event) {
        std::vector<Action> actions;
        gateway_.handle(now_, event, actions);
        for (const Action& action : actions) {
            digest_.add(action);
            if (const auto* timer = std::get_if<SetTimer>(&action))
                due_events_.emplace(now_ + timer->from_now, TimerFired{timer->token});
            if (const auto* attempt = std::get_if<SendAttempt>(&action)) schedule_end(*attempt);
        }
    }
    void schedule_end(const SendAttempt& attempt) {
        ++sent_;
        const Micros elapsed = Micros(5000 + random_() % 90000);
        AttemptEnded ended;
        ended.id = attempt.id;
        ended.attempt = attempts_[attempt.id]++;
        ended.host = attempt.host;
        ended.elapsed = elapsed;
        ended.outcome = random_() % 20 == 0 ? Outcome::error : Outcome::success;
        ended.request_completed = ended.outcome == Outcome::success;
        due_events_.emplace(now_ + elapsed, ended);
    }

    Micros now_ = 1h;
    std::mt19937_64 random_{3};
    Gateway gateway_;
    std::vector<HostEntry> listed_;
    std::multimap<Micros, Event> due_events_;
    Digest digest_;
    std::map<RequestId, int> attempts_;  // number of attempts begun, by request
    RequestId next_request_ = 1;
    std::uint64_t sent_ = 0;
};

// The expected digest comes from an implementation that sorted the whole list at each change. The index must
// select the same hosts.
TEST(HostList, TheIndexSelectsTheSameHostsAsAListSortedAtEachChange) {
    ChurnedGateway gateway;
    for (int step = 0; step < 20000; ++step) gateway.step();
    EXPECT_GT(gateway.sent(), 15000u);
    EXPECT_EQ(gateway.digest(), 16855070943031021730u);
}

struct ListedHost {
    struct {
        std::string host;
    } entry;
    std::uint32_t order_key = 0;
};
struct CountingByOrderKey {
    std::uint64_t* comparisons;
    bool operator()(const ListedHost* left, const ListedHost* right) const {
        ++*comparisons;
        return ByOrderKey{}(left, right);
    }
};

// Erases 1,000 hosts, one after the other, from an order of `size` hosts and inserts each again, and rebuilds
// the front after each step. Returns the mean number of comparisons for one host.
double comparisons_per_change(std::size_t size) {
    std::vector<ListedHost> hosts(size);
    std::mt19937 random(5);
    std::uint64_t comparisons = 0;
    constexpr std::size_t front_size = 32, changes = 1000;
    HostOrder<ListedHost, CountingByOrderKey> order(front_size, {&comparisons});
    for (ListedHost& host : hosts) {
        host.entry.host = std::to_string(order.size());
        host.order_key = static_cast<std::uint32_t>(random());
        order.insert(host);
    }
    comparisons = 0;
    for (std::size_t change = 0; change < changes; ++change) {
        ListedHost& host = hosts[random() % size];
        order.erase(host);
        order.rebuild_front();
        order.insert(host);
        order.rebuild_front();
    }
    EXPECT_EQ(order.size(), size);
    EXPECT_EQ(order.front_size(), std::min(front_size, size));
    return static_cast<double>(comparisons) / changes;
}

TEST(HostList, TheComparisonsForOneChangeGrowWithTheLogarithmOfTheNumberOfHosts) {
    const double with_1000_hosts = comparisons_per_change(1000),
                 with_64000_hosts = comparisons_per_change(64000);
    EXPECT_LT(with_1000_hosts, 60);
    // 64 times as many hosts add six levels to a balanced tree. Each change descends twice, and the tree may
    // be out of balance by a factor of two.
    EXPECT_LT(with_64000_hosts - with_1000_hosts, 2 * 6 * 2);
}

}  // namespace
}  // namespace gateway::decision

// The upkeep of the host list: the choice of hosts under many changes, and that the work of one change does
// not grow with the list.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "gateway/interface.h"
#include "host_index.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// FNV-1a over what the module decides.
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

// A gateway under requests whose hosts restart, drain, leave, come back, are banned and listed anew.
class ChurnedGateway {
  public:
    ChurnedGateway() : gateway_(settings(), 7, now_) {
        for (int host = 0; host < hosts; ++host) up_.emplace_back(entry(host, 0us));
        HostsChanged list{true, up_};
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
        while (!due_.empty() && due_.begin()->first <= now_) {
            const Event event = due_.begin()->second;
            due_.erase(due_.begin());
            handle(event);
        }
        arrive();
        if (random_() % 8 == 0) change();
        if (random_() % 200 == 0) handle(HostsChanged{true, up_});
        if (random_() % 100 == 0) handle(HostBanned{up_[random_() % hosts].host, random_() % 2 == 0});
    }
    std::uint64_t digest() const { return digest_.value(); }
    std::uint64_t sent() const { return sent_; }

  private:
    static constexpr int hosts = 60;

    HostEntry entry(int host, Micros started) const {
        return {std::string("h").append(std::to_string(host)),
                host % 2 == 0 ? "a" : "b",
                "m",
                host / 4,
                HostState::up,
                1,
                started};
    }
    void arrive() {
        RequestArrived arrival;
        arrival.id = next_++;
        arrival.customer = "c";
        arrival.plan = -1;
        arrival.time_left = 600ms;
        arrival.units = 1 + static_cast<double>(random_() % 3);
        handle(arrival);
    }
    void change() {
        const auto host = random_() % hosts;
        HostEntry changed = up_[host];
        switch (random_() % 4) {
            case 0:
                changed.state = HostState::draining;
                break;
            case 1:
                changed.state = HostState::gone;
                break;
            default:
                changed = up_[host] = entry(static_cast<int>(host), now_ - Micros(random_() % 1000000));
        }
        handle(HostsChanged{false, {changed}});
    }
    void handle(const Event& event) {
        std::vector<Action> actions;
        gateway_.handle(now_, event, actions);
        for (const Action& action : actions) {
            digest_.add(action);
            if (const auto* timer = std::get_if<SetTimer>(&action))
                due_.emplace(now_ + timer->from_now, TimerFired{timer->token});
            if (const auto* attempt = std::get_if<SendAttempt>(&action)) end_later(*attempt);
        }
    }
    void end_later(const SendAttempt& attempt) {
        ++sent_;
        const Micros took = Micros(5000 + random_() % 90000);
        AttemptEnded ended;
        ended.id = attempt.id;
        ended.attempt = attempts_[attempt.id]++;
        ended.host = attempt.host;
        ended.elapsed = took;
        ended.outcome = random_() % 20 == 0 ? Outcome::error : Outcome::success;
        ended.request_completed = ended.outcome == Outcome::success;
        due_.emplace(now_ + took, ended);
    }

    Micros now_ = 1h;
    std::mt19937_64 random_{3};
    Gateway gateway_;
    std::vector<HostEntry> up_;
    std::multimap<Micros, Event> due_;
    Digest digest_;
    std::map<RequestId, int> attempts_;  // begun, by request
    RequestId next_ = 1;
    std::uint64_t sent_ = 0;
};

// The digest is the one that a list sorted anew at each change gave: an index must not change any choice.
TEST(HostList, ChangesOfTheListChooseTheSameHostsAsAListSortedAnew) {
    ChurnedGateway gateway;
    for (int step = 0; step < 20000; ++step) gateway.step();
    EXPECT_GT(gateway.sent(), 15000u);
    EXPECT_EQ(gateway.digest(), 16855070943031021730u);
}

struct ListedHost {
    struct {
        std::string host;
    } entry;
    std::uint32_t place = 0;
};
struct CountingByPlace {
    std::uint64_t* comparisons;
    bool operator()(const ListedHost* left, const ListedHost* right) const {
        ++*comparisons;
        return ByPlace{}(left, right);
    }
};

// Comparisons for each of 1,000 hosts taken out of a list of so many and put back, the front made anew each
// time.
double comparisons_of_a_change(std::size_t size) {
    std::vector<ListedHost> hosts(size);
    std::mt19937 random(5);
    std::uint64_t comparisons = 0;
    constexpr std::size_t front = 32, changes = 1000;
    HostOrder<ListedHost, CountingByPlace> order(front, {&comparisons});
    for (ListedHost& host : hosts) {
        host.entry.host = std::to_string(order.size());
        host.place = static_cast<std::uint32_t>(random());
        order.insert(host);
    }
    comparisons = 0;
    for (std::size_t change = 0; change < changes; ++change) {
        ListedHost& host = hosts[random() % size];
        order.erase(host);
        order.restart();
        order.insert(host);
        order.restart();
    }
    EXPECT_EQ(order.size(), size);
    EXPECT_EQ(order.front_size(), std::min(front, size));
    return static_cast<double>(comparisons) / changes;
}

TEST(HostList, TheWorkOfOneChangeGrowsWithTheLogarithmOfTheList) {
    const double small = comparisons_of_a_change(1000), large = comparisons_of_a_change(64000);
    EXPECT_LT(small, 60);
    // 64 times the hosts are six more levels, gone down twice, with what a tree may be out of balance.
    EXPECT_LT(large - small, 2 * 6 * 2);
}

}  // namespace
}  // namespace gateway::decision

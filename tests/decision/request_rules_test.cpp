// The rules on one request, and the guard that asks them before anything is carried out.
#include "gateway/request_rules.h"

#include <gtest/gtest.h>

#include "gateway/rule_guard.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr int safe = 0, keyed_by_zone = 1, keyed = 2, unsafe = 3;

Settings settings() {
    Settings s;
    s.max_attempts = 3;
    s.connect_timeout = 100ms;
    const auto add = [&](Idempotency effect, DeduplicationScope scope) {
        RequestClass c;
        c.idempotency = effect, c.deduplication_scope = scope;
        c.latency_objective = 1s, c.deadline = 2s, c.deduplication_window = 1s;
        s.classes.push_back(c);
    };
    add(Idempotency::idempotent, DeduplicationScope::all);
    add(Idempotency::with_key, DeduplicationScope::zone);
    add(Idempotency::with_key, DeduplicationScope::all);
    add(Idempotency::not_idempotent, DeduplicationScope::all);
    return s;
}
HostEntry host(const std::string& name, const std::string& zone, HostState state = HostState::up) {
    HostEntry entry;
    entry.host = name, entry.zone = zone, entry.state = state;
    return entry;
}

struct RuleGuardTest : ::testing::Test {
    RuleGuard guard{settings()};
    Micros now = 1h;
    void SetUp() override {
        guard.hosts_changed({true, {host("a1", "a"), host("a2", "a"), host("b1", "b")}});
        for (const int c : {safe, keyed_by_zone, keyed, unsafe}) guard.request_arrived(id(c), c, now + 2s);
    }
    static RequestId id(int request_class) { return static_cast<RequestId>(request_class) + 1; }
    SendVerdict begin(int request_class, int number, const std::string& at) {
        return guard.begin_attempt(id(request_class), number, at, now);
    }
    void end(int request_class, int number, Outcome outcome) {
        guard.attempt_ended(id(request_class), number, outcome);
    }
};

TEST_F(RuleGuardTest, AnUnsafeRequestIsRepeatedOnlyWhenItNeverRan) {
    EXPECT_EQ(begin(unsafe, 0, "a1"), SendVerdict::allowed);
    end(unsafe, 0, Outcome::rejected);
    EXPECT_TRUE(guard.may_reject(id(unsafe)));
    EXPECT_EQ(begin(unsafe, 1, "a2"), SendVerdict::allowed);
    end(unsafe, 1, Outcome::reset);
    EXPECT_EQ(begin(unsafe, 2, "a2"), SendVerdict::may_have_run);
    EXPECT_FALSE(guard.may_reject(id(unsafe)));
    EXPECT_EQ(guard.violations().total(), 2u);
}

TEST_F(RuleGuardTest, AKeyedRequestIsRepeatedWhereHostsKnowIt) {
    EXPECT_EQ(begin(keyed_by_zone, 0, "a1"), SendVerdict::allowed);
    end(keyed_by_zone, 0, Outcome::timeout);
    EXPECT_EQ(begin(keyed_by_zone, 1, "b1"), SendVerdict::outside_deduplication_scope);
    EXPECT_EQ(begin(keyed_by_zone, 2, "a2"), SendVerdict::allowed);
    end(keyed_by_zone, 2, Outcome::connect_failed);
    EXPECT_FALSE(guard.may_reject(id(keyed_by_zone)));
    EXPECT_EQ(begin(keyed, 0, "a1"), SendVerdict::allowed);
    end(keyed, 0, Outcome::cancelled);
    EXPECT_TRUE(guard.may_reject(id(keyed)));
    now += 900ms;  // a connection that is late would bring the repeat when the window is over
    EXPECT_EQ(begin(keyed, 1, "b1"), SendVerdict::outside_deduplication_window);
}

TEST_F(RuleGuardTest, CopiesAndCountsAreBound) {
    EXPECT_EQ(begin(safe, 0, "a1"), SendVerdict::allowed);
    EXPECT_EQ(begin(safe, 1, "a2"), SendVerdict::hedge_not_allowed);
    for (const int number : {0, 2, 3}) {
        end(safe, number, Outcome::error);
        EXPECT_EQ(begin(safe, number + 1, "a2"),
                  number < 3 ? SendVerdict::allowed : SendVerdict::attempts_exhausted);
        end(safe, number + 1, Outcome::error);
    }
}

TEST_F(RuleGuardTest, NothingGoesToAHostThatLeavesOrAfterTheEnd) {
    guard.hosts_changed({false, {host("a1", "a", HostState::draining)}});
    EXPECT_EQ(begin(safe, 0, "a1"), SendVerdict::host_draining);
    EXPECT_EQ(begin(safe, 0, "unheard-of"), SendVerdict::host_draining);
    guard.host_banned({"a2", true});
    EXPECT_EQ(begin(safe, 0, "a2"), SendVerdict::host_draining);
    guard.hosts_changed({true, {host("a2", "a")}});  // no list lifts a ban
    EXPECT_EQ(begin(safe, 0, "a2"), SendVerdict::host_draining);
    EXPECT_EQ(begin(safe, 0, "b1"), SendVerdict::host_draining);
    guard.host_banned({"a2", false});
    const std::uint64_t faults = guard.violations().total();
    EXPECT_EQ(begin(safe, 0, "a2"), SendVerdict::allowed);
    guard.client_disconnected(id(safe));
    EXPECT_EQ(begin(safe, 1, "a2"), SendVerdict::already_completed);
    guard.answered(id(keyed), now);
    EXPECT_EQ(begin(keyed, 0, "a2"), SendVerdict::already_completed);
    now += 2s;
    EXPECT_EQ(begin(unsafe, 0, "a2"), SendVerdict::expired);
    EXPECT_EQ(guard.violations().total(), faults);  // decisions may cross an end
    now += 500ms;
    guard.answered(id(unsafe), now);
    EXPECT_EQ(guard.violations().late_answers, 1u);
}

}  // namespace
}  // namespace gateway::decision

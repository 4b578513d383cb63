// Tests of the rules on requests, through the rule guard that applies them.
#include "gateway/request_rules.h"

#include <gtest/gtest.h>

#include "gateway/rule_guard.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// Indexes of the request classes in `settings()`. Requests of the `keyed` classes have an idempotency key.
constexpr int idempotent = 0, keyed_by_zone = 1, keyed = 2, not_idempotent = 3;

Settings settings() {
    Settings result;
    result.max_attempts = 3;
    result.connect_timeout = 100ms;
    const auto add_class = [&](Idempotency idempotency, DeduplicationScope scope) {
        RequestClass request_class;
        request_class.idempotency = idempotency, request_class.deduplication_scope = scope;
        request_class.latency_objective = 1s, request_class.deadline = 2s,
        request_class.deduplication_window = 1s;
        result.classes.push_back(request_class);
    };
    add_class(Idempotency::idempotent, DeduplicationScope::all);
    add_class(Idempotency::with_key, DeduplicationScope::zone);
    add_class(Idempotency::with_key, DeduplicationScope::all);
    add_class(Idempotency::not_idempotent, DeduplicationScope::all);
    return result;
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
        for (const int request_class : {idempotent, keyed_by_zone, keyed, not_idempotent})
            guard.request_arrived(id(request_class), request_class, now + 2s);
    }
    static RequestId id(int request_class) { return static_cast<RequestId>(request_class) + 1; }
    SendVerdict begin(int request_class, int number, const std::string& host_name) {
        return guard.begin_attempt(id(request_class), number, host_name, now);
    }
    void end(int request_class, int number, Outcome outcome) {
        guard.attempt_ended(id(request_class), number, outcome);
    }
};

TEST_F(RuleGuardTest, NonIdempotentRequestIsRetriedOnlyIfItWasNotExecuted) {
    EXPECT_EQ(begin(not_idempotent, 0, "a1"), SendVerdict::allowed);
    end(not_idempotent, 0, Outcome::rejected);
    EXPECT_TRUE(guard.may_reject(id(not_idempotent)));
    EXPECT_EQ(begin(not_idempotent, 1, "a2"), SendVerdict::allowed);
    end(not_idempotent, 1, Outcome::reset);
    EXPECT_EQ(begin(not_idempotent, 2, "a2"), SendVerdict::may_have_run);
    EXPECT_FALSE(guard.may_reject(id(not_idempotent)));
    EXPECT_EQ(guard.violations().total(), 2u);
}

TEST_F(RuleGuardTest, RequestWithAKeyIsRetriedWithinScopeAndWindow) {
    EXPECT_EQ(begin(keyed_by_zone, 0, "a1"), SendVerdict::allowed);
    end(keyed_by_zone, 0, Outcome::timeout);
    EXPECT_EQ(begin(keyed_by_zone, 1, "b1"), SendVerdict::outside_deduplication_scope);
    EXPECT_EQ(begin(keyed_by_zone, 2, "a2"), SendVerdict::allowed);
    end(keyed_by_zone, 2, Outcome::connect_failed);
    EXPECT_FALSE(guard.may_reject(id(keyed_by_zone)));
    EXPECT_EQ(begin(keyed, 0, "a1"), SendVerdict::allowed);
    end(keyed, 0, Outcome::cancelled);
    EXPECT_TRUE(guard.may_reject(id(keyed)));
    now += 900ms;  // a slow connection would deliver the retry after the deduplication window
    EXPECT_EQ(begin(keyed, 1, "b1"), SendVerdict::outside_deduplication_window);
}

TEST_F(RuleGuardTest, ForbiddenHedgesAndExcessAttemptsAreBlocked) {
    EXPECT_EQ(begin(idempotent, 0, "a1"), SendVerdict::allowed);
    EXPECT_EQ(begin(idempotent, 1, "a2"), SendVerdict::hedge_not_allowed);
    for (const int number : {0, 2, 3}) {
        end(idempotent, number, Outcome::error);
        EXPECT_EQ(begin(idempotent, number + 1, "a2"),
                  number < 3 ? SendVerdict::allowed : SendVerdict::attempts_exhausted);
        end(idempotent, number + 1, Outcome::error);
    }
}

TEST_F(RuleGuardTest, NoAttemptBeginsAtADrainingHostOrAfterTheRequestHasEnded) {
    guard.hosts_changed({false, {host("a1", "a", HostState::draining)}});
    EXPECT_EQ(begin(idempotent, 0, "a1"), SendVerdict::host_draining);
    EXPECT_EQ(begin(idempotent, 0, "unheard-of"), SendVerdict::host_draining);
    guard.host_banned({"a2", true});
    EXPECT_EQ(begin(idempotent, 0, "a2"), SendVerdict::host_draining);
    guard.hosts_changed({true, {host("a2", "a")}});  // an update of the list does not lift a ban
    EXPECT_EQ(begin(idempotent, 0, "a2"), SendVerdict::host_draining);
    EXPECT_EQ(begin(idempotent, 0, "b1"), SendVerdict::host_draining);
    guard.host_banned({"a2", false});
    const std::uint64_t violations = guard.violations().total();
    EXPECT_EQ(begin(idempotent, 0, "a2"), SendVerdict::allowed);
    guard.client_disconnected(id(idempotent));
    EXPECT_EQ(begin(idempotent, 1, "a2"), SendVerdict::already_completed);
    guard.answered(id(keyed), now);
    EXPECT_EQ(begin(keyed, 0, "a2"), SendVerdict::already_completed);
    now += 2s;
    EXPECT_EQ(begin(not_idempotent, 0, "a2"), SendVerdict::expired);
    // A decision made before the request ended is not a violation.
    EXPECT_EQ(guard.violations().total(), violations);
    now += 500ms;
    guard.answered(id(not_idempotent), now);
    EXPECT_EQ(guard.violations().late_answers, 1u);
}

}  // namespace
}  // namespace gateway::decision

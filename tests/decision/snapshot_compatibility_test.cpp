// Restores a snapshot that was saved by the program of commit 77e24d2. tests/fixtures/README.md describes how
// it was recorded, and the events before it.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "../fixtures/fixtures.h"
#include "gateway/interface.h"
#include "peer_message.h"

using namespace gateway::decision;
using namespace std::chrono_literals;

namespace {

// Clock times in the recording.
constexpr Micros host_restarted_at = 28s;
constexpr Micros restored_at = 30s + 20ms;
constexpr Micros other_clock_ahead = 1h;
// After this time, the attempts that the former process had in flight no longer count as in flight. They
// count for twice the mean response time; the mean is 293 ms in the snapshot.
constexpr Micros max_inherited_attempts_time = 1500ms;

constexpr int no_plan = -1;
enum PlanIndex { metered, concurrent, ceiling, paced };

// A customer whose requests arrive in the recording after the snapshot is restored.
struct RecordedCustomer {
    const char* customer;
    int plan;
    int set_size;
};
constexpr RecordedCustomer recorded_customers[] = {
    {"unlimited", no_plan, 1},    {"over-quota", metered, 1},
    {"over-ceiling", ceiling, 1}, {"in-flight", concurrent, 1},
    {"paced", paced, 1},          {"leased-1", metered, 3},
    {"dry", metered, 3},          {"awaiting-lease", metered, 3},
    {"shared", metered, 2},
};

Settings recorded_settings() {
    Settings settings;
    settings.rank = 0;
    settings.instances = 3;
    settings.zone = "z1";
    settings.classes = {{"read", Idempotency::idempotent, DeduplicationScope::all, 800ms, 2s, 0us, 1, 0}};
    settings.plans = {
        {"metered", 2, 4, 0, 1, 0, 1, 0, 0},
        {"concurrent", 100, 100, 2, 1, 0, 1, 0, 0},
        {"ceiling", 100, 100, 0, 1, 0, 1, 2, 4},
        {"paced", 20, 40, 0, 1, 0, 1, 20, 40},
    };
    settings.max_attempts = 3;
    settings.may_message_peers = true;
    settings.may_send_retry_after = true;
    settings.messages_per_s = 60;
    settings.tick = 4ms;
    settings.slow_start_time = 10s;
    settings.overload_time = 2s;
    settings.overload_multiple = 2;
    settings.slow_start_capacity = 0.2;
    return settings;
}

HostEntry make_host(const std::string& name, Micros started = 0us, HostState state = HostState::up) {
    HostEntry host;
    host.host = name;
    host.zone = "z1";
    host.state = state;
    host.started = started;
    return host;
}

std::vector<HostEntry> recorded_hosts() {
    return {make_host("warm-1"),
            make_host("warm-2"),
            make_host("banned"),
            make_host("put-back"),
            make_host("failing"),
            make_host("starting", host_restarted_at),
            make_host("draining", 0us, HostState::draining)};
}

template <class Kind>
std::vector<Kind> actions_of(const std::vector<Action>& actions) {
    std::vector<Kind> found;
    for (const Action& action : actions)
        if (const auto* match = std::get_if<Kind>(&action)) found.push_back(*match);
    return found;
}

// The gateway of the next process, with the recorded hosts and its own clock. Timers fire when the clock
// passes their time.
class NextProcess {
  public:
    explicit NextProcess(Micros now = restored_at) : now_(now), gateway_(recorded_settings(), 2, now) {
        handle(HostsChanged{true, recorded_hosts()});
    }

    void restore(const std::string& fixture) {
        handle(RestoreSnapshot{gateway::test::read_fixture(fixture)});
    }

    std::vector<Action> handle(const Event& event) {
        std::vector<Action> actions;
        gateway_.handle(now_, event, actions);
        for (const Action& action : actions)
            if (const auto* timer = std::get_if<SetTimer>(&action))
                timers_.emplace(now_ + timer->from_now, timer->token);
        return actions;
    }

    std::vector<Action> advance(Micros span) {
        const Micros until = now_ + span;
        std::vector<Action> actions;
        while (!timers_.empty() && timers_.begin()->first <= until) {
            now_ = timers_.begin()->first;
            const std::uint64_t token = timers_.begin()->second;
            timers_.erase(timers_.begin());
            for (Action& action : handle(TimerFired{token})) actions.push_back(std::move(action));
        }
        now_ = until;
        return actions;
    }

    std::vector<Action> request(const std::string& customer, int plan, int set_size = 1) {
        RequestArrived arrival;
        arrival.id = ++last_request_;
        arrival.customer = customer;
        arrival.plan = plan;
        arrival.time_left = 2s;
        arrival.set_size = set_size;
        return handle(arrival);
    }

    void end_attempt(const SendAttempt& attempt, Outcome outcome) {
        AttemptEnded ended;
        ended.id = attempt.id;
        ended.host = attempt.host;
        ended.outcome = outcome;
        ended.elapsed = 20ms;
        ended.request_completed = true;
        handle(ended);
    }

    // Sends requests without a quota, one every 10 ms, and ends each attempt successfully at once. Returns
    // the number of attempts at each host.
    std::map<std::string, int> attempts_by_host(int requests) {
        std::map<std::string, int> attempts;
        for (int i = 0; i < requests; ++i) {
            advance(10ms);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(request("unlimited", no_plan))) {
                ++attempts[attempt.host];
                end_attempt(attempt, Outcome::success);
            }
        }
        return attempts;
    }

    std::string hand_over() {
        const auto saved = actions_of<SaveSnapshot>(handle(HandedOver{true}));
        return saved.size() == 1 ? saved[0].bytes : std::string();
    }

  private:
    Micros now_;
    Gateway gateway_;
    RequestId last_request_ = 1'000'000;
    std::multimap<Micros, std::uint64_t> timers_;
};

struct SnapshotCompatibility : ::testing::Test {
    NextProcess restored;
    NextProcess without_snapshot;  // for comparison: restores no snapshot

    void SetUp() override { restored.restore("snapshot-77e24d2.bin"); }

    void expect_rejected(const std::vector<Action>& actions, RejectionReason reason) {
        EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
        const auto rejected = actions_of<RejectRequest>(actions);
        ASSERT_EQ(rejected.size(), 1u);
        EXPECT_EQ(rejected[0].reason, reason) << to_string(rejected[0].reason);
    }
};

}  // namespace

TEST_F(SnapshotCompatibility, ARestoredSnapshotIsSavedWithTheBytesOfTheRecordedVersion) {
    EXPECT_EQ(restored.hand_over(), gateway::test::read_fixture("snapshot-77e24d2-handed-on.bin"));
}

TEST_F(SnapshotCompatibility, ASnapshotRestoredOnAnotherClockIsSavedWithTheBytesOfTheRecordedVersion) {
    NextProcess ahead(restored_at + other_clock_ahead);
    ahead.restore("snapshot-77e24d2.bin");
    const std::string expected = gateway::test::read_fixture("snapshot-77e24d2-handed-on-other-clock.bin");
    EXPECT_EQ(ahead.hand_over(), expected);
    EXPECT_NE(expected, gateway::test::read_fixture("snapshot-77e24d2-handed-on.bin"));
}

// Fields that are read in a wrong order are saved in the same wrong order. Only the gateway's decisions then
// differ.
TEST_F(SnapshotCompatibility, ASnapshotIsSavedAfterRequestsWithTheBytesOfTheRecordedVersion) {
    for (int round = 0; round < 300; ++round) {
        restored.advance(10ms);
        for (const RecordedCustomer& recorded : recorded_customers) {
            const auto actions = restored.request(recorded.customer, recorded.plan, recorded.set_size);
            for (const SendAttempt& attempt : actions_of<SendAttempt>(actions))
                restored.end_attempt(attempt, Outcome::success);
        }
    }
    EXPECT_EQ(restored.hand_over(), gateway::test::read_fixture("snapshot-77e24d2-handed-on-after-use.bin"));
}

TEST_F(SnapshotCompatibility, ABannedHostGetsNoAttemptsUntilTheBanIsLifted) {
    EXPECT_GT(without_snapshot.attempts_by_host(400)["banned"], 0);
    EXPECT_EQ(restored.attempts_by_host(400)["banned"], 0);
    restored.handle(HostBanned{"banned", false});
    EXPECT_GT(restored.attempts_by_host(400)["banned"], 0);
}

TEST_F(SnapshotCompatibility, AnUnbannedHostIsStillWarmingUp) {
    const int warming_up = restored.attempts_by_host(400)["put-back"];
    EXPECT_GT(warming_up, 0);
    restored.advance(10s);
    const int warm = restored.attempts_by_host(400)["put-back"];
    EXPECT_LT(warming_up, warm * 3 / 4) << warm;
    // Without the snapshot the host is warm from the start.
    const int warm_from_the_start = without_snapshot.attempts_by_host(400)["put-back"];
    without_snapshot.advance(10s);
    EXPECT_GT(warm_from_the_start, without_snapshot.attempts_by_host(400)["put-back"] * 3 / 4);
}

TEST_F(SnapshotCompatibility, AnEjectedHostGetsNoAttemptsUntilItsEjectionEnds) {
    EXPECT_GT(without_snapshot.attempts_by_host(20)["failing"], 0);
    EXPECT_EQ(restored.attempts_by_host(20)["failing"], 0);
    EXPECT_GT(restored.attempts_by_host(1000)["failing"], 0);
}

TEST_F(SnapshotCompatibility, ConsecutiveFailuresBeforeTheHandoverCountTowardsEjection) {
    const auto sent_to_warm_1_after_one_failure = [](NextProcess& process) {
        bool failed = false;
        int attempts_after = 0;
        for (int i = 0; i < 40; ++i) {
            process.advance(5ms);
            for (const SendAttempt& attempt :
                 actions_of<SendAttempt>(process.request("unlimited", no_plan))) {
                const bool fail_attempt = attempt.host == "warm-1" && !failed;
                attempts_after += attempt.host == "warm-1" && failed;
                failed = failed || fail_attempt;
                process.end_attempt(attempt, fail_attempt ? Outcome::reset : Outcome::success);
            }
        }
        EXPECT_TRUE(failed);
        return attempts_after;
    };
    EXPECT_GT(sent_to_warm_1_after_one_failure(without_snapshot), 0);
    EXPECT_EQ(sent_to_warm_1_after_one_failure(restored), 0);
}

TEST_F(SnapshotCompatibility, ARequestBeyondASpentQuotaIsRejected) {
    EXPECT_EQ(actions_of<SendAttempt>(without_snapshot.request("over-quota", metered)).size(), 1u);
    expect_rejected(restored.request("over-quota", metered), RejectionReason::over_quota);
    EXPECT_EQ(actions_of<SendAttempt>(restored.request("newcomer", metered)).size(), 1u);
}

TEST_F(SnapshotCompatibility, ARequestBeyondASpentCeilingIsRejected) {
    expect_rejected(restored.request("over-ceiling", ceiling), RejectionReason::over_quota);
    restored.advance(5s);
    EXPECT_EQ(actions_of<SendAttempt>(restored.request("over-ceiling", ceiling)).size(), 1u);
}

TEST_F(SnapshotCompatibility, AttemptsInFlightAtTheHandoverCountAgainstTheConcurrencyLimit) {
    EXPECT_EQ(actions_of<SendAttempt>(without_snapshot.request("in-flight", concurrent)).size(), 1u);
    EXPECT_TRUE(actions_of<SendAttempt>(restored.request("in-flight", concurrent)).empty());
    // The request waits until it is too late to send it.
    const auto while_waiting = restored.advance(max_inherited_attempts_time);
    EXPECT_TRUE(actions_of<SendAttempt>(while_waiting).empty());
    EXPECT_EQ(actions_of<RejectRequest>(while_waiting).size(), 1u);
    EXPECT_EQ(actions_of<SendAttempt>(restored.request("in-flight", concurrent)).size(), 1u);
}

TEST_F(SnapshotCompatibility, UnitsLeasedFromAPeerAreSpentWithoutANewLease) {
    const auto actions = without_snapshot.request("leased-1", metered, 3);
    EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
    EXPECT_EQ(actions_of<SendMessage>(actions).size(), 1u);
    EXPECT_EQ(actions_of<SendAttempt>(restored.request("leased-1", metered, 3)).size(), 1u);
}

TEST_F(SnapshotCompatibility, NoLeaseRequestFollowsAtOnceAfterALeaseHolderHadNoUnitsLeft) {
    const auto actions = restored.request("dry", metered, 3);
    EXPECT_TRUE(actions_of<SendMessage>(actions).empty());
    expect_rejected(actions, RejectionReason::over_quota);
}

TEST_F(SnapshotCompatibility, UnitsGrantedToAPeerAreNotGrantedAgain) {
    const auto grant_to_peer = [](NextProcess& process) {
        LeaseRequest request;
        request.nonce = 11;
        request.customer = name_hash("shared");
        request.plan = metered;
        request.set_size = 2;
        request.required_units = 2;
        const auto replies = actions_of<SendMessage>(process.handle(MessageArrived{1, encode({request})}));
        return replies.size() == 1 ? std::get<LeaseGrant>(decode(replies[0].bytes)->at(0)) : LeaseGrant{};
    };
    EXPECT_EQ(grant_to_peer(without_snapshot).units, 2);
    const LeaseGrant second = grant_to_peer(restored);
    EXPECT_EQ(second.nonce, 11u);
    EXPECT_EQ(second.units, 0);
    EXPECT_GT(second.retry_after_ms, 0u);
}

// Handover of a gateway's state to the next process of an upgrade, by a snapshot.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// Each process sets its clock by the wall clock once, at its start. A step of the wall clock between the two
// starts shifts the clocks against each other. Times in the snapshot that are not shifted likewise would
// refill quotas too early or too late.
TEST(Handover, TheNextProcessShiftsTimesToItsOwnClock) {
    for (const Micros step : {Micros(1h), Micros(-1h)}) {
        ClockedGateway former(single_gateway_settings()), next(single_gateway_settings());
        former.now += 5h;
        next.now += 5h + step;
        former.handle(HostsChanged{true, {host("a"), host("b")}});
        next.handle(HostsChanged{true, {host("a"), host("b")}});
        RequestId id = 1;
        for (; id <= 10; ++id) former.request(id);  // more than the burst: no quota is left
        next.now += 1s;
        former.now += 1s;
        const auto snapshots = actions_of<SaveSnapshot>(former.handle(HandedOver{true}));
        ASSERT_EQ(snapshots.size(), 1u);
        next.handle(RestoreSnapshot{snapshots[0].bytes});
        // The quota refills at 2 units a second, whatever the difference of the clocks is.
        int sent = 0;
        for (int i = 0; i < 40; ++i, ++id) {
            for (const SendAttempt& attempt : actions_of<SendAttempt>(next.request(id))) {
                ++sent;
                next.end_attempt(id, attempt.host, Outcome::success, 5ms);
            }
            next.advance(100ms);
        }
        EXPECT_GE(sent, 5) << step.count();
        EXPECT_LE(sent, 11) << step.count();
    }
}

TEST(Handover, TheNextProcessRestoresQuotasAndBans) {
    ClockedGateway former(single_gateway_settings()), next(single_gateway_settings());
    // The burst is 4 units. At the start the lease holder's ledger holds half of it.
    int sent = 0;
    RequestId id = 1;
    for (; id <= 10; ++id) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(former.request(id))) {
            ++sent;
            former.end_attempt(id, attempt.host, Outcome::success, 5ms);
        }
    }
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, 10);
    former.handle(HostBanned{"a", true});
    const auto snapshots = actions_of<SaveSnapshot>(former.handle(HandedOver{true}));
    ASSERT_EQ(snapshots.size(), 1u);
    next.handle(RestoreSnapshot{snapshots[0].bytes});
    EXPECT_TRUE(actions_of<SendAttempt>(next.request(100)).empty());
    EXPECT_EQ(actions_of<RejectRequest>(former.request(100)).size(), 1u);
    next.advance(2s);
    const auto attempts = actions_of<SendAttempt>(next.request(101));
    ASSERT_EQ(attempts.size(), 1u);
    EXPECT_EQ(attempts[0].host, "b");
    // If the next process ends, the former one continues as after a start.
    former.advance(2s);
    EXPECT_EQ(actions_of<RejectRequest>(former.request(102)).size(), 1u);
    former.handle(HandedOver{false});
    EXPECT_EQ(actions_of<SendAttempt>(former.request(103)).size(), 1u);
}

TEST(Handover, AGatewayKeepsWorkingAfterATruncatedSnapshotOrOneOfAnotherVersion) {
    ClockedGateway former(single_gateway_settings());
    former.request(1);
    const std::string snapshot = actions_of<SaveSnapshot>(former.handle(HandedOver{true})).at(0).bytes;
    for (std::size_t size = 0; size < snapshot.size(); size += 7) {
        ClockedGateway next(single_gateway_settings());
        next.handle(RestoreSnapshot{snapshot.substr(0, size)});
        next.advance(2s);
        EXPECT_FALSE(actions_of<SendAttempt>(next.request(2)).empty() &&
                     actions_of<RejectRequest>(next.request(3)).empty());
    }
    ClockedGateway next(single_gateway_settings());
    std::string newer_version = snapshot;
    newer_version[0] = 99;
    next.handle(RestoreSnapshot{newer_version});
    EXPECT_EQ(actions_of<SendAttempt>(next.request(2)).size(), 1u);
}

}  // namespace gateway::decision::test

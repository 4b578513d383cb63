// Handover to the next process, and restoring what the former one saved.
#include "gateway_fixture.h"

namespace gateway::decision::test {

// Each process anchors its clock once to the wall clock; that may have been stepped between their starts.
TEST(Handover, TheNextProcessReadsTimesByItsOwnClock) {
    for (const Micros step : {Micros(1h), Micros(-1h)}) {
        ClockedGateway former(single_gateway_settings()), next(single_gateway_settings());
        former.now += 5h;
        next.now += 5h + step;
        former.handle(HostsChanged{true, {host("a"), host("b")}});
        next.handle(HostsChanged{true, {host("a"), host("b")}});
        RequestId id = 1;
        for (; id <= 10; ++id) former.request(id);  // more than the burst: the store is empty
        next.now += 1s;
        former.now += 1s;
        const auto left = actions_of<SaveSnapshot>(former.handle(HandedOver{true}));
        ASSERT_EQ(left.size(), 1u);
        next.handle(RestoreSnapshot{left[0].bytes});
        // 2 units a second, whatever the clocks say.
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

TEST(Handover, TheNextProcessGoesOnWithWhatTheFormerOneLeaves) {
    ClockedGateway former(single_gateway_settings()), next(single_gateway_settings());
    // 4 units at once are the burst; half of it lies at the home's ledger at the start.
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
    const auto left = actions_of<SaveSnapshot>(former.handle(HandedOver{true}));
    ASSERT_EQ(left.size(), 1u);
    next.handle(RestoreSnapshot{left[0].bytes});
    EXPECT_TRUE(actions_of<SendAttempt>(next.request(100)).empty());
    EXPECT_EQ(actions_of<RejectRequest>(former.request(100)).size(), 1u);
    next.advance(2s);
    const auto out = actions_of<SendAttempt>(next.request(101));
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].host, "b");
    // It goes on by itself if the next process ends, as after a start.
    former.advance(2s);
    EXPECT_EQ(actions_of<RejectRequest>(former.request(102)).size(), 1u);
    former.handle(HandedOver{false});
    EXPECT_EQ(actions_of<SendAttempt>(former.request(103)).size(), 1u);
}

TEST(Handover, ASnapshotThatCannotBeReadIsIgnored) {
    ClockedGateway former(single_gateway_settings());
    former.request(1);
    const std::string state = actions_of<SaveSnapshot>(former.handle(HandedOver{true})).at(0).bytes;
    for (std::size_t size = 0; size < state.size(); size += 7) {
        ClockedGateway next(single_gateway_settings());
        next.handle(RestoreSnapshot{state.substr(0, size)});
        next.advance(2s);
        EXPECT_FALSE(actions_of<SendAttempt>(next.request(2)).empty() &&
                     actions_of<RejectRequest>(next.request(3)).empty());
    }
    ClockedGateway next(single_gateway_settings());
    std::string later = state;
    later[0] = 99;
    next.handle(RestoreSnapshot{later});
    EXPECT_EQ(actions_of<SendAttempt>(next.request(2)).size(), 1u);
}

}  // namespace gateway::decision::test

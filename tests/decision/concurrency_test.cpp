// Tests of the concurrency limit: the maximum number of attempts in flight of one customer.
#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

namespace {

// A gateway that holds quota tokens for several requests of a customer with a concurrency limit of two.
ClockedGateway gateway_with_two_permits() {
    Settings settings = single_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 100;
    settings.plans[0].max_concurrency = 2;
    ClockedGateway gateway(settings);
    for (RequestId id = 101; id <= 120; ++id) {
        const auto sent = actions_of<SendAttempt>(gateway.request(id));
        EXPECT_EQ(sent.size(), 1u);
        for (const SendAttempt& attempt : sent) gateway.end_attempt(id, attempt.host, Outcome::success, 20ms);
    }
    return gateway;
}

Settings fleet_settings_with_two_permits() {
    Settings settings = two_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 100;
    settings.plans[0].max_concurrency = 2;
    return settings;
}

}  // namespace

// Guards against permits that are never released: attempts still in flight when their client disconnected or
// their request was given up kept their permits forever, until the limit rejected all requests of the
// customer.
TEST(ConcurrencyLimit, AttemptThatOutlivesItsRequestCountsUntilItEnds) {
    Settings settings = single_gateway_settings();
    settings.plans[0].max_concurrency = 1;
    settings.may_hedge = settings.may_cancel = false;  // only the host can end the attempt
    for (const bool client_disconnects : {true, false}) {
        ClockedGateway gateway(settings);
        const auto sent = actions_of<SendAttempt>(gateway.request(1, 1, 500ms));
        ASSERT_EQ(sent.size(), 1u);
        if (client_disconnects) gateway.handle(ClientDisconnected{1});
        gateway.advance(1s);
        gateway.request(2);
        EXPECT_TRUE(actions_of<SendAttempt>(gateway.advance(1s)).empty());
        gateway.end_attempt(1, sent[0].host, Outcome::timeout, 1s, 0, true);
        gateway.advance(1s);
        EXPECT_EQ(actions_of<SendAttempt>(gateway.request(3)).size(), 1u);
    }
}

// Guards against a limit that is checked only if quota tokens are missing: one attempt in seven exceeded the
// limit.
TEST(ConcurrencyLimit, AppliesAlsoWhenTokensCoverTheRequest) {
    ClockedGateway gateway = gateway_with_two_permits();
    std::vector<SendAttempt> sent;
    for (RequestId id = 1; id <= 4; ++id)
        for (const SendAttempt& attempt : actions_of<SendAttempt>(gateway.request(id)))
            sent.push_back(attempt);
    ASSERT_EQ(sent.size(), 2u);
    const auto third =
        actions_of<SendAttempt>(gateway.end_attempt(sent[0].id, sent[0].host, Outcome::success, 20ms));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_EQ(third[0].id, 3u);  // requests wait in the order of their arrival
    const auto fourth =
        actions_of<SendAttempt>(gateway.end_attempt(sent[1].id, sent[1].host, Outcome::error, 20ms, 0, true));
    ASSERT_EQ(fourth.size(), 1u);
    EXPECT_EQ(fourth[0].id, 4u);
}

// Guards against even shares that exceed the limit in total: 43% of the attempts sent as a customer's second
// attempt in flight at one gateway exceeded the limit.
TEST(ConcurrencyLimit, EvenSharesOfGatewaysDoNotExceedTheLimitInTotal) {
    Settings settings = two_gateway_settings();
    settings.plans[0].rate = settings.plans[0].burst = 100;
    settings.plans[0].max_concurrency = 3;
    std::size_t sent = 0;
    for (settings.rank = 0; settings.rank < 2; ++settings.rank) {
        ClockedGateway gateway(settings);
        for (RequestId id = 1; id <= 4; ++id) {
            // The other gateway has the same demand, which the lease holder reports to both.
            const auto nonce = static_cast<std::uint32_t>(id);
            gateway.handle(MessageArrived{1 - settings.rank,
                                          encode({LeaseRequest{nonce, name_hash("c"), 0, 2, 0, 0, 4, 0}})});
            const auto emitted = gateway.request(id, 1, 2s, 0, 0, "c", 2);
            sent += actions_of<SendAttempt>(emitted).size();
            for (const SendMessage& sent_message : actions_of<SendMessage>(emitted)) {
                const auto messages = decode(sent_message.bytes);
                for (const PeerMessage& message : *messages)
                    if (const auto* lease_request = std::get_if<LeaseRequest>(&message))
                        sent += actions_of<SendAttempt>(
                                    gateway.handle(MessageArrived{
                                        sent_message.to,
                                        encode({LeaseGrant{lease_request->nonce, 1, 0, 0, 100}})}))
                                    .size();
            }
        }
    }
    EXPECT_GE(sent, 2u);
    EXPECT_LE(sent, 3u);
}

TEST(ConcurrencyLimit, RequestWithoutAPermitInTimeIsRejected) {
    ClockedGateway gateway = gateway_with_two_permits();
    for (RequestId id = 1; id <= 2; ++id) EXPECT_EQ(actions_of<SendAttempt>(gateway.request(id)).size(), 1u);
    gateway.request(3);
    const auto emitted = gateway.advance(800ms);
    ASSERT_EQ(actions_of<RejectRequest>(emitted).size(), 1u);
    EXPECT_EQ(actions_of<RejectRequest>(emitted)[0].id, 3u);
    for (const SendAttempt& attempt : actions_of<SendAttempt>(emitted)) EXPECT_NE(attempt.id, 3u);
    // If more requests wait than permits become free in time, the next request is rejected immediately with a
    // Retry-After.
    std::vector<RejectRequest> rejected;
    for (RequestId id = 10; id < 200 && rejected.empty(); ++id)
        rejected = actions_of<RejectRequest>(gateway.request(id));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_GT(rejected[0].retry_after, 100ms);
}

// Guards against a minimum of one permit for each gateway of a set that is larger than the limit: with five
// gateways and a limit of two, a quarter of the forwarded units exceeded the limit.
TEST(ConcurrencyLimit, GatewaysOfASetLargerThanTheLimitDoNotExceedTheLimitInTotal) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Fleet fleet(fleet_settings_with_two_permits(), 12, seed);
        fleet.response_time = 200'000us;
        RequestId id = 0;
        int total = 0, beyond_limit = 0;
        for (Micros passed{0}; passed < 60s; passed += 20ms) {
            const std::size_t before = fleet.sent.size();
            if (fleet.random() % 10 == 0) fleet.request(static_cast<int>(fleet.random() % 5), ++id, 1, 5, 2s);
            fleet.advance(20ms);
            total += static_cast<int>(fleet.sent.size() - before);
            beyond_limit += fleet.sent.size() > before && fleet.pending_responses.size() > 2;
        }
        // 5 requests per second with a response time of 0.2 s use half of the limit on average.
        EXPECT_GT(total, 0.9 * static_cast<double>(id)) << seed;
        EXPECT_LT(beyond_limit, 0.03 * total) << seed;  // lost messages cause the remaining excess
    }
}

TEST(ConcurrencyLimit, PermitsOfAFailedGatewayAreReleased) {
    Settings settings = fleet_settings_with_two_permits();
    settings.may_hedge = settings.may_cancel = false;
    Fleet fleet(settings, 12, 1);
    fleet.response_time = 60s;  // no attempt ends during the test
    const int lease_holder = static_cast<int>(name_hash("c") % 5);
    const int failing = (lease_holder + 1) % 5, waiting = (lease_holder + 2) % 5;
    for (RequestId id = 1; id <= 2; ++id) fleet.request(failing, id, 1, 5, 60s);
    fleet.advance(1s);
    ASSERT_EQ(fleet.sent.size(), 2u);
    fleet.request(waiting, 3, 1, 5, 500ms);
    fleet.advance(500ms);
    EXPECT_EQ(fleet.sent.size(), 2u) << "a gateway that is alive keeps its permits";
    fleet.restart(failing);
    for (RequestId id = 4; id <= 9; ++id) {
        fleet.advance(250ms);
        fleet.request(waiting, id, 1, 5, 2s);
    }
    fleet.advance(250ms);
    EXPECT_EQ(fleet.sent.size(), 4u);
}

// Guards against customers that are rejected for as long as their lease holder is silent.
TEST(ConcurrencyLimit, WithASilentLeaseHolderEachGatewayHasAPermit) {
    Fleet fleet(fleet_settings_with_two_permits(), 12, 1);
    const int lease_holder = static_cast<int>(name_hash("c") % 5), borrower = (lease_holder + 1) % 5;
    int served = 0;
    for (RequestId id = 1; id <= 20; ++id) {
        fleet.messages_in_transit.clear();
        fleet.request(borrower, id, 1, 5, 2s);
        for (int i = 0; i < 100; ++i) {
            fleet.messages_in_transit.clear();
            fleet.advance(4ms);
        }
        served = static_cast<int>(fleet.sent.size());
    }
    EXPECT_GT(served, 10);
}

}  // namespace gateway::decision::test

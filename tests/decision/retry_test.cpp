// Which attempts and retries are allowed, and that every request is completed in time.
#include "gateway_fixture.h"

namespace gateway::decision::test {

TEST(Attempts, ARequestWithoutAResponseIsCompletedByItsDeadline) {
    ClockedGateway gateway(single_gateway_settings(), {host("a")});
    gateway.request(1, 1, 300ms);
    const auto actions = gateway.advance(300ms);
    EXPECT_EQ(actions_of<RejectRequest>(actions).size() + actions_of<FailRequest>(actions).size(), 1u);
}

TEST(Attempts, ADrainingHostGetsNoAttempts) {
    ClockedGateway gateway(single_gateway_settings());
    gateway.handle(HostsChanged{false, {host("a", HostState::draining)}});
    for (RequestId id = 1; id <= 2; ++id) {
        const auto sent = actions_of<SendAttempt>(gateway.request(id));
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].host, "b");
    }
}

TEST(Attempts, ARequestWithoutAnyListedHostIsRejected) {
    ClockedGateway gateway(single_gateway_settings(), {});
    gateway.request(1);
    EXPECT_EQ(actions_of<RejectRequest>(gateway.advance(2s)).size(), 1u);
}

TEST(Attempts, ARequestWithAKeyIsRetriedOnlyInItsCellAndFailsOnceItMayHaveRun) {
    Settings settings = single_gateway_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].deduplication_scope = DeduplicationScope::cell;
    settings.classes[0].deduplication_window = 1s;
    settings.may_hedge = false;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        ClockedGateway gateway(
            settings, {host("a", HostState::up, 1), host("b", HostState::up, 2), host("c", HostState::up, 2)},
            seed);
        const auto first = actions_of<SendAttempt>(gateway.request(1));
        ASSERT_EQ(first.size(), 1u);
        gateway.now += 50ms;
        const auto actions = gateway.end_attempt(1, first[0].host, Outcome::reset, 50ms);
        EXPECT_TRUE(actions_of<RejectRequest>(actions).empty());
        for (const SendAttempt& attempt : actions_of<SendAttempt>(actions))
            EXPECT_EQ(attempt.host == "a", first[0].host == "a");
        EXPECT_TRUE(actions_of<RejectRequest>(gateway.advance(2s)).empty());
        EXPECT_EQ(actions_of<FailRequest>(gateway.actions).size(), 1u);
    }
}

// A retry that is decided within the deduplication window may reach the host after the window, because its
// connection may take up to the connect timeout.
TEST(Attempts, ARequestWithAKeyIsRetriedOnlyIfTheConnectTimeoutEndsWithinTheWindow) {
    for (const bool late : {false, true}) {
        Settings settings = single_gateway_settings();
        settings.classes[0].idempotency = Idempotency::with_key;
        settings.classes[0].deduplication_window = 400ms;
        settings.connect_timeout = 250ms;
        settings.may_hedge = false;
        ClockedGateway gateway(settings);
        const auto first = actions_of<SendAttempt>(gateway.request(1));
        ASSERT_EQ(first.size(), 1u);
        const Micros elapsed = late ? 200ms : 100ms;
        gateway.now += elapsed;
        const auto actions = gateway.end_attempt(1, first[0].host, Outcome::reset, elapsed);
        EXPECT_EQ(actions_of<SendAttempt>(actions).size(), late ? 0u : 1u);
    }
}

// A retry that begins within the deduplication window may arrive after it, because its host may read slowly.
TEST(Attempts, ARetryOfARequestWithAKeyHasToBeDeliveredWithinTheWindow) {
    Settings settings = single_gateway_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].deduplication_window = 400ms;
    settings.may_hedge = false;
    for (const Outcome outcome : {Outcome::reset, Outcome::rejected}) {
        ClockedGateway gateway(settings);
        const auto first = actions_of<SendAttempt>(gateway.request(1));
        ASSERT_EQ(first.size(), 1u);
        EXPECT_EQ(first[0].delivery_timeout, std::nullopt);
        gateway.now += 100ms;
        const auto retries = actions_of<SendAttempt>(gateway.end_attempt(1, first[0].host, outcome, 100ms));
        ASSERT_EQ(retries.size(), 1u);
        // A rejected attempt was not executed, so its retry can be executed at any time.
        const auto expected = outcome == Outcome::reset ? std::optional<Micros>(300ms) : std::nullopt;
        EXPECT_EQ(retries[0].delivery_timeout, expected);
    }
}

TEST(Attempts, ANonIdempotentRequestIsNotRetriedOnceItMayHaveRun) {
    Settings settings = single_gateway_settings();
    settings.classes[0].idempotency = Idempotency::not_idempotent;
    ClockedGateway gateway(settings, {host("a"), host("b"), host("c")});
    const auto first = actions_of<SendAttempt>(gateway.request(1));
    ASSERT_EQ(first.size(), 1u);
    const auto actions = gateway.end_attempt(1, first[0].host, Outcome::reset, 50ms);
    EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
    EXPECT_EQ(actions_of<FailRequest>(actions).size(), 1u);
    ASSERT_EQ(actions_of<SendAttempt>(gateway.request(2)).size(), 1u);
    EXPECT_EQ(
        actions_of<SendAttempt>(gateway.end_attempt(2, actions_of<SendAttempt>(gateway.actions).back().host,
                                                    Outcome::rejected, 5ms))
            .size(),
        1u);
}

// Clients may reset their connections within milliseconds of a request, and hosts then work on responses that
// nobody reads (page8618).
TEST(Cancel, AttemptsOfADisconnectedClientAreCancelledIfTheSettingsAllowIt) {
    Settings settings = single_gateway_settings();
    for (const bool may_cancel : {true, false}) {
        settings.may_cancel = may_cancel;
        ClockedGateway gateway(settings);
        const auto sent = actions_of<SendAttempt>(gateway.request(1));
        ASSERT_EQ(sent.size(), 1u);
        const auto cancelled = actions_of<CancelAttempt>(gateway.handle(ClientDisconnected{1}));
        ASSERT_EQ(cancelled.size(), may_cancel ? 1u : 0u);
        for (const CancelAttempt& cancel : cancelled) EXPECT_EQ(cancel.attempt, 0);
        EXPECT_TRUE(actions_of<CancelAttempt>(gateway.handle(ClientDisconnected{1})).empty());
        gateway.request(2);
        EXPECT_TRUE(
            actions_of<CancelAttempt>(gateway.end_attempt(2, sent[0].host, Outcome::success, 5ms)).empty());
    }
}

// Timers fire only at whole ticks. With two ticks left or less, the timer for a decision in time would fire
// after the deadline.
TEST(Deadline, ARequestWithAtMostTwoTicksLeftIsRejectedAtOnce) {
    for (const Micros time_left : {1us, 1000us, 4000us, 8000us}) {
        Settings settings = single_gateway_settings();
        settings.may_check_health = true;  // otherwise the request would wait for a health check
        ClockedGateway gateway(settings);
        const auto actions = gateway.request(1, 1, time_left, -1);
        ASSERT_EQ(actions_of<RejectRequest>(actions).size(), 1u) << time_left.count();
        EXPECT_EQ(actions_of<RejectRequest>(actions)[0].reason, RejectionReason::expired_on_arrival);
    }
}

}  // namespace gateway::decision::test

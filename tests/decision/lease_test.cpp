// Tests of quota leases: lease requests, grants, and silent lease holders.
#include "fleet.h"
#include "gateway_fixture.h"

namespace gateway::decision::test {

// Guards against even slices that are smaller than one request. In large fleets they blocked customers
// completely, or let each gateway forward one request beyond the quota.
TEST(Lease, QuotaIsMetAndNotExceededByFleetsOfAnySize) {
    for (const int count : {2, 12, 300}) {
        Settings settings = two_gateway_settings();
        settings.plans[0] = {"plan", 10, 20, 0, 1, 0, 1, 0, 0};
        Fleet fleet(settings, count, 7);
        const auto count_forwarded = [&](Micros interval, Micros span) {
            std::map<RequestId, int> forwarded;
            static RequestId id = 0;
            for (Micros passed{0}; passed < span; passed += interval) {
                fleet.advance(interval);
                fleet.request(static_cast<int>(fleet.random() % static_cast<std::uint64_t>(count)), ++id, 1,
                              count);
            }
            for (const auto& [rank, attempt] : std::exchange(fleet.sent, {})) forwarded[attempt.id] = 1;
            return static_cast<double>(forwarded.size());
        };
        // 5 requests per second at a quota of 10: nearly all 100 are forwarded.
        EXPECT_GT(count_forwarded(200ms, 20s), 90) << count;
        const double overloaded = count_forwarded(20ms, 20s);  // 50 requests per second
        EXPECT_GT(overloaded, 150) << count;
        // The quota allows 220. Lost lease requests add to that, because a fallback holder grants leases
        // meanwhile.
        EXPECT_LT(overloaded, 290) << count;
    }
}

TEST(Lease, FailedLeaseHolderIsReplacedByAFallbackHolder) {
    Settings settings = two_gateway_settings();
    settings.plans[0] = {"plan", 10, 20, 0, 1, 0, 1, 0, 0};
    settings.instances = 9;
    settings.rank = 8;
    int served = 0;
    ClockedGateway gateway(settings);
    for (RequestId id = 1; id <= 40; ++id) {  // the lease holder is silent, the fallback holders grant
        std::vector<Action> emitted = gateway.request(id, 1, 2s, 0, 0, "c", 8);
        for (Micros passed{0}; passed < 500ms; passed += 10ms) {
            const auto new_actions = gateway.advance(10ms);
            emitted.insert(emitted.end(), new_actions.begin(), new_actions.end());
            const auto sent_messages = actions_of<SendMessage>(std::exchange(emitted, {}));
            served += static_cast<int>(actions_of<SendAttempt>(new_actions).size());
            for (const SendMessage& message : sent_messages) {
                const auto peer_messages = decode(message.bytes);
                ASSERT_TRUE(peer_messages);
                const LeaseRequest& request = std::get<LeaseRequest>(peer_messages->at(0));
                if (message.to == static_cast<int>(request.customer % 8)) continue;
                const auto after_grant = gateway.handle(MessageArrived{
                    message.to, encode({LeaseGrant{request.nonce, request.required_units, 0, 0, 1}})});
                served += static_cast<int>(actions_of<SendAttempt>(after_grant).size());
                for (const SendAttempt& attempt : actions_of<SendAttempt>(after_grant))
                    gateway.end_attempt(attempt.id, attempt.host, Outcome::success, 5ms);
            }
        }
    }
    EXPECT_EQ(served, 40);
}

// Guards against a lease holder that counts as silent although it sends messages: after the loss of one
// datagram with two lease requests, a fallback holder granted the quota a second time.
TEST(Lease, LeaseHolderThatSendsMessagesIsNotReplacedAfterLostRequests) {
    Settings settings = two_gateway_settings();
    settings.instances = 3;
    const std::uint32_t lease_holder = name_hash("c") % 3;
    settings.rank = static_cast<int>((lease_holder + 1) % 3);
    std::string other_customer = "d";
    while (name_hash(other_customer) % 3 != lease_holder) other_customer += 'd';
    for (const bool message_received : {true, false}) {
        ClockedGateway gateway(settings);
        gateway.request(1, 1, 2s, 0, 0, "c", 3);
        gateway.request(2, 1, 2s, 0, 0, other_customer, 3);
        gateway.advance(100ms);
        // An unrelated message proves that the peer is alive, although both lease requests were lost.
        if (message_received)
            gateway.handle(
                MessageArrived{static_cast<int>(lease_holder), encode({LeaseGrant{0, 0, 0, 0, 1}})});
        gateway.advance(100ms);
        int sent_to_fallback = 0;
        for (const SendMessage& message : actions_of<SendMessage>(gateway.actions))
            sent_to_fallback += message.to != static_cast<int>(lease_holder);
        EXPECT_EQ(sent_to_fallback > 0, !message_received);
    }
}

// Guards against a false timeout after a stall of the gateway: the overdue timer fires before the answer that
// is already queued is handled.
TEST(Lease, StallOfTheGatewayDoesNotMakeTheLeaseHolderSilent) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);  // the other gateway is the lease holder
    ClockedGateway gateway(settings);
    const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 5s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    const auto nonce = std::get<LeaseRequest>(decode(lease_requests[0].bytes)->at(0)).nonce;
    const auto timers = std::exchange(gateway.timers, {});
    gateway.now += 600ms;
    for (const auto& [at, token] : timers)
        if (at <= gateway.now) {
            EXPECT_TRUE(actions_of<SendMessage>(gateway.handle(TimerFired{token})).empty());
        }
    const auto emitted =
        gateway.handle(MessageArrived{lease_requests[0].to, encode({LeaseGrant{nonce, 1, 0, 0, 1}})});
    EXPECT_EQ(actions_of<SendAttempt>(emitted).size(), 1u);
}

// Guards against late rejections: requests whose lease request was lost waited until shortly before their
// client gave up.
TEST(Lease, RequestWaitingForALeaseIsRejectedAtItsLatestStart) {
    Settings settings = two_gateway_settings();
    // The other gateway is the lease holder. It is silent.
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    settings.classes[0].latency_objective = 250ms;
    ClockedGateway gateway(settings);
    EXPECT_EQ(actions_of<SendMessage>(gateway.request(1, 1, 2s, 0, 0, "c", 2)).size(), 1u);
    EXPECT_TRUE(actions_of<RejectRequest>(gateway.advance(240ms)).empty());
    EXPECT_EQ(actions_of<RejectRequest>(gateway.advance(11ms)).size(), 1u);
}

TEST(Lease, DuplicateGrantIsCreditedOnce) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    ClockedGateway gateway(settings);
    const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 5s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    const std::string grant = encode(
        {LeaseGrant{std::get<LeaseRequest>(decode(lease_requests[0].bytes)->at(0)).nonce, 1, 0, 0, 1}});
    EXPECT_EQ(actions_of<SendAttempt>(gateway.handle(MessageArrived{lease_requests[0].to, grant})).size(),
              1u);
    EXPECT_TRUE(gateway.handle(MessageArrived{lease_requests[0].to, grant}).empty());
    // No tokens are left, so the gateway sends a lease request.
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.request(2, 1, 5s, 0, 0, "c", 2)).empty());
}

// Guards against granted units that are wasted: a third of the grants arrived after their lease request
// counted as lost, and were ignored.
TEST(Lease, GrantForARequestThatCountsAsLostIsCredited) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    ClockedGateway gateway(settings);
    std::vector<SendMessage> lease_requests =
        actions_of<SendMessage>(gateway.request(1, 1, 5s, 0, 0, "c", 2));
    for (const SendMessage& message : actions_of<SendMessage>(gateway.advance(200ms)))
        lease_requests.push_back(message);
    ASSERT_EQ(lease_requests.size(), 2u);
    const auto nonce = [&](std::size_t i) {
        return std::get<LeaseRequest>(decode(lease_requests[i].bytes)->at(0)).nonce;
    };
    const auto answer = [&](std::size_t i, double units, std::uint32_t retry_after_ms) {
        return gateway.handle(MessageArrived{lease_requests[i].to,
                                             encode({LeaseGrant{nonce(i), units, 0, retry_after_ms, 1}})});
    };
    const auto sent = actions_of<SendAttempt>(answer(0, 1, 0));
    ASSERT_EQ(sent.size(), 1u);
    gateway.end_attempt(1, sent[0].host, Outcome::success, 20ms);
    EXPECT_TRUE(actions_of<SendAttempt>(answer(0, 1, 0)).empty());  // a duplicate is ignored
    answer(1, 1, 0);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(2, 1, 5s, 0, 0, "c", 2)).size(), 1u);
}

// Guards against rejected gateways that all retry at the same time for the same units: half of the lease
// requests were unsuccessful.
TEST(Lease, LeaseHolderSchedulesRetriesOfRejectedGatewaysOneAfterAnother) {
    Settings settings = two_gateway_settings();
    settings.instances = 3;
    settings.rank = static_cast<int>(name_hash("c") % 3);
    ClockedGateway gateway(settings);  // 2 units per second; a new ledger has half of the burst of 4
    const auto request_lease = [&](int from, double units) {
        const LeaseRequest request{7, name_hash("c"), 0, 3, 0, units, 0, 0};
        const auto replies = actions_of<SendMessage>(gateway.handle(MessageArrived{from, encode({request})}));
        EXPECT_EQ(replies.size(), 1u);
        return std::get<LeaseGrant>(decode(replies.at(0).bytes)->at(0));
    };
    const int first_peer = (settings.rank + 1) % 3, second_peer = (settings.rank + 2) % 3;
    EXPECT_EQ(request_lease(first_peer, 2).units, 2);
    EXPECT_NEAR(request_lease(first_peer, 1).retry_after_ms, 500, 2);
    EXPECT_NEAR(request_lease(second_peer, 1).retry_after_ms, 1000, 2);
    gateway.advance(501ms);
    EXPECT_EQ(request_lease(first_peer, 1).units, 1);
    gateway.advance(500ms);
    EXPECT_EQ(request_lease(second_peer, 1).units, 1);
}

// Guards against avoidable waits: without prefetching, half of the requests waited 8 ms or more for a lease
// request of their own before they were sent.
TEST(Lease, PrefetchedLeaseCoversTheNextRequestWithoutAWait) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    ClockedGateway gateway(settings);
    auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 2s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    EXPECT_EQ(actions_of<SendAttempt>(grant_lease(gateway, lease_requests[0], 1)).size(), 1u);
    lease_requests = actions_of<SendMessage>(gateway.advance(120ms));
    ASSERT_EQ(lease_requests.size(), 1u);
    const LeaseRequest prefetch = std::get<LeaseRequest>(decode(lease_requests[0].bytes)->at(0));
    EXPECT_EQ(prefetch.required_units, 0);
    EXPECT_GE(prefetch.prefetch_units, 1);
    // A request that arrives before the grant is sent with the grant. The tokens cover the request after it.
    EXPECT_TRUE(actions_of<SendAttempt>(gateway.request(2, 1, 2s, 0, 0, "c", 2)).empty());
    EXPECT_EQ(actions_of<SendAttempt>(grant_lease(gateway, lease_requests[0], 2)).size(), 1u);
    EXPECT_EQ(actions_of<SendAttempt>(gateway.request(3, 1, 2s, 0, 0, "c", 2)).size(), 1u);
}

// Guards against too many prefetched units: in a fleet of 100 gateways, each gateway that a customer had used
// held the units of three requests. That was several bursts in total, and customers with small quotas were
// not served.
TEST(Lease, PrefetchedUnitsOfASetDoNotExceedTheBurst) {
    Settings settings = two_gateway_settings();
    settings.instances = 100;
    const auto prefetched_units = [&](int set_size) {
        double max_units = 0;
        Settings borrower_settings = settings;
        borrower_settings.rank =
            static_cast<int>((name_hash("c") + 1) % static_cast<std::uint32_t>(set_size));
        ClockedGateway gateway(borrower_settings);
        const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 2s, 0, 0, "c", set_size));
        EXPECT_EQ(lease_requests.size(), 1u);
        if (lease_requests.empty()) return max_units;
        EXPECT_EQ(actions_of<SendAttempt>(grant_lease(gateway, lease_requests[0], 1)).size(), 1u);
        for (const SendMessage& message : actions_of<SendMessage>(gateway.advance(1s)))
            max_units =
                std::max(max_units, std::get<LeaseRequest>(decode(message.bytes)->at(0)).prefetch_units);
        return max_units;
    };
    const double burst = settings.plans[0].burst;  // 4
    EXPECT_GT(prefetched_units(2), 0);
    for (const int set_size : {2, 3, 4})
        EXPECT_LE((prefetched_units(set_size) - 1.0 / 16) * set_size, burst)
            << set_size;  // the encoding rounds up
    for (const int set_size : {5, 50, 100}) EXPECT_EQ(prefetched_units(set_size), 0) << set_size;
}

// Guards against prefetches that fill the outbox and delay the lease requests that client requests wait for.
TEST(Lease, PrefetchIsSentInTheSameDatagramAsAnUrgentLeaseRequest) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    std::string other_customer = "d";
    while (name_hash(other_customer) % 2 != name_hash("c") % 2) other_customer += 'e';
    ClockedGateway gateway(settings);
    const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 2s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    EXPECT_TRUE(actions_of<SendMessage>(grant_lease(gateway, lease_requests[0], 1)).empty());
    const auto urgent = actions_of<SendMessage>(gateway.request(2, 1, 2s, 0, 0, other_customer, 2));
    ASSERT_EQ(urgent.size(), 1u);
    EXPECT_EQ(decode(urgent[0].bytes)->size(), 2u);
}

// Guards against a busy lease holder that counts as silent: it limited the rate of its grants to the spare
// part of its own receive rate. Many gateways sent lease requests, so the grants came late, and the
// requesting gateways treated the lease holder as failed.
TEST(Lease, BusyLeaseHolderAnswersEachGatewayInTime) {
    Settings settings = two_gateway_settings();
    settings.instances = 100;
    settings.plans[0].rate = settings.plans[0].burst = 1000;
    settings.messages_per_s = 40;
    settings.rank = static_cast<int>(name_hash("c") % 9);
    ClockedGateway gateway(settings);
    std::map<std::uint32_t, Micros> requested_at;
    int in_time = 0;
    // Eight gateways send five requests per second each.
    for (std::uint32_t nonce = 1; nonce <= 200; ++nonce) {
        const int peer = static_cast<int>(nonce % 8), from = peer < settings.rank ? peer : peer + 1;
        requested_at[nonce] = gateway.now;
        auto emitted = gateway.handle(
            MessageArrived{from, encode({LeaseRequest{nonce, name_hash("c"), 0, 9, 0, 1, 0, 0}})});
        const auto after_delay = gateway.advance(25ms);
        emitted.insert(emitted.end(), after_delay.begin(), after_delay.end());
        for (const SendMessage& message : actions_of<SendMessage>(emitted)) {
            const auto granted = decode(message.bytes);
            for (const PeerMessage& peer_message : *granted)
                in_time += gateway.now - requested_at[std::get<LeaseGrant>(peer_message).nonce] <= 300ms;
        }
    }
    EXPECT_GT(in_time, 190);
}

// Guards against a lease request that counts as lost while it waits in the outbox: it was repeated, and a
// fallback holder granted the same units as the lease holder.
TEST(Lease, RequestInTheOutboxDoesNotCountAsLost) {
    Settings settings = two_gateway_settings();
    settings.instances = 100;
    settings.rank = 50;
    settings.messages_per_s = 40;
    settings.plans[0].rate = settings.plans[0].burst = 1000;
    ClockedGateway gateway(settings);
    const auto receive_from_peers = [&] {  // twenty peers send more messages than this gateway can receive
        for (std::uint32_t i = 0; i < 20; ++i) {
            gateway.handle(MessageArrived{60 + static_cast<int>(i), encode({LeaseGrant{1, 0, 0, 0, 1}})});
            gateway.advance(20ms);
        }
    };
    for (int i = 0; i < 6; ++i) receive_from_peers();
    const std::uint32_t lease_holder = name_hash("c") % 8;
    RequestId id = 0;
    std::vector<SendMessage> sent;
    std::string name = "c";
    while (id < 4) {
        name += 'c';
        if (name_hash(name) % 8 != lease_holder) continue;
        for (const SendMessage& message :
             actions_of<SendMessage>(gateway.request(++id, 1, 2s, 0, 0, name, 8))) {
            EXPECT_EQ(message.to, static_cast<int>(lease_holder));
            grant_lease(gateway, message, 1);
            sent.push_back(message);
        }
    }
    EXPECT_LT(sent.size(), 4u) << "no lease request waits in the outbox, so the test proves nothing";
    for (const SendMessage& message : actions_of<SendMessage>(gateway.advance(450ms)))
        EXPECT_EQ(message.to, static_cast<int>(lease_holder));
}

// A request does not wait for a prefetched grant: the gateway sends a lease request for it, and either grant
// admits the waiting requests that it covers.
TEST(Lease, TooSmallPrefetchedGrantDoesNotRejectAWaitingRequest) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    ClockedGateway gateway(settings);
    const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 2s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    grant_lease(gateway, lease_requests[0], 1);
    const auto prefetch = actions_of<SendMessage>(gateway.advance(120ms));
    ASSERT_EQ(prefetch.size(), 1u);
    const auto own_request = actions_of<SendMessage>(gateway.request(2, 1, 2s, 0, 0, "c", 2));
    ASSERT_EQ(own_request.size(), 1u);
    EXPECT_NEAR(std::get<LeaseRequest>(decode(own_request[0].bytes)->at(0)).required_units, 1, 1e-9);
    const auto after_prefetch = grant_lease(gateway, prefetch[0], 0.25);
    EXPECT_TRUE(actions_of<RejectRequest>(after_prefetch).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(after_prefetch).empty());
    EXPECT_EQ(actions_of<SendAttempt>(grant_lease(gateway, own_request[0], 0.75)).size(), 1u);
}

TEST(Lease, LateEmptyGrantDoesNotRejectAWaitingRequest) {
    Settings settings = two_gateway_settings();
    settings.rank = static_cast<int>((name_hash("c") + 1) % 2);
    ClockedGateway gateway(settings);
    const auto lease_requests = actions_of<SendMessage>(gateway.request(1, 1, 5s, 0, 0, "c", 2));
    ASSERT_EQ(lease_requests.size(), 1u);
    const auto repeated = actions_of<SendMessage>(gateway.advance(200ms));
    ASSERT_EQ(repeated.size(), 1u);
    const auto answer = [&](const SendMessage& request, LeaseGrant grant) {
        grant.nonce = std::get<LeaseRequest>(decode(request.bytes)->at(0)).nonce;
        return gateway.handle(MessageArrived{request.to, encode({grant})});
    };
    EXPECT_TRUE(actions_of<RejectRequest>(answer(lease_requests[0], LeaseGrant{0, 0, 0, 400, 1})).empty());
    EXPECT_EQ(actions_of<SendAttempt>(answer(repeated[0], LeaseGrant{0, 1, 0, 0, 1})).size(), 1u);
}

TEST(Lease, RequestIsServedForAnySetSize) {
    for (const int set_size : {0, 1, 2, 500}) {
        ClockedGateway gateway(two_gateway_settings());
        gateway.request(1, 1, 2s, 0, 0, "c", set_size);
        gateway.advance(2s);
        EXPECT_GE(actions_of<SendAttempt>(gateway.actions).size(), 1u) << set_size;
        // The request is rejected at its deadline, because no host answers.
        EXPECT_EQ(actions_of<RejectRequest>(gateway.actions).size(), 1u) << set_size;
    }
}

}  // namespace gateway::decision::test

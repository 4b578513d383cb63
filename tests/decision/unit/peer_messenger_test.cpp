#include "peer_messenger.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr int peer = 3;
constexpr int messages_at_once = 3;
constexpr Micros pace = 12'500us;  // 80 messages a second: the usable share of 100

class PeerMessengerTest : public testing::Test {
  protected:
    void post(int count, bool urgent) {
        for (int posted = 0; posted < count; ++posted) messenger.post(peer, LeaseRequest{}, urgent);
    }
    // Lets time pass until the peer's outbox goes.
    void flush() {
        event.advance(messenger.queueing_delay(peer));
        messenger.on_flush_timer(peer);
    }
    std::size_t sent() const { return event.emitted<SendMessage>().size(); }
    static MessageArrived message_of(std::string bytes) { return {peer, std::move(bytes)}; }

    EventContext event{fleet_settings(4)};
    PeerMessenger messenger{event.context};
};

TEST_F(PeerMessengerTest, UrgentMessagesGoAtOnceUntilTheBurstIsSpent) {
    post(messages_at_once, true);
    EXPECT_EQ(sent(), 3u);
    EXPECT_EQ(messenger.queueing_delay(peer), 0us);

    post(1, true);
    EXPECT_EQ(sent(), 3u);
    EXPECT_EQ(messenger.queueing_delay(peer), pace);
    flush();
    EXPECT_EQ(sent(), 4u);
}

TEST_F(PeerMessengerTest, OtherMessagesAreBundled) {
    post(2, false);
    EXPECT_EQ(sent(), 0u);
    EXPECT_EQ(event.emitted<SetTimer>().size(), 1u);
    EXPECT_EQ(messenger.queueing_delay(peer), messenger.batching_delay());

    event.advance(messenger.batching_delay() - 1us);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 0u) << "an earlier timer is out of date";
    event.advance(1us);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 1u);
    EXPECT_EQ(event.sent_to_peers<LeaseRequest>().size(), 2u);
}

TEST_F(PeerMessengerTest, AFullOutboxDropsWhatComesOnTop) {
    post(250, false);

    while (messenger.queueing_delay(peer) > 0us) flush();

    EXPECT_EQ(event.sent_to_peers<LeaseRequest>().size(), 200u);
}

TEST_F(PeerMessengerTest, APeerIsSilentForASecondAfterTwoUnansweredRequests) {
    messenger.record_unanswered(peer, start_time);
    EXPECT_FALSE(messenger.is_silent(peer));
    messenger.record_unanswered(peer, start_time);
    EXPECT_TRUE(messenger.is_silent(peer));
    EXPECT_FALSE(messenger.is_silent(peer + 1));

    event.advance(1s - 1us);
    EXPECT_TRUE(messenger.is_silent(peer));
    event.advance(1us);
    EXPECT_FALSE(messenger.is_silent(peer));
}

TEST_F(PeerMessengerTest, OnlyAMessageOfThisVersionProvesThatAPeerIsAlive) {
    messenger.record_unanswered(peer, start_time);
    messenger.record_unanswered(peer, start_time);

    EXPECT_FALSE(messenger.receive(message_of("no message")));
    EXPECT_TRUE(messenger.is_silent(peer));
    const auto messages = messenger.receive(message_of(encode({LeaseGrant{}})));
    ASSERT_TRUE(messages);
    EXPECT_EQ(messages->size(), 1u);
    EXPECT_FALSE(messenger.is_silent(peer));

    messenger.record_unanswered(peer, start_time);
    messenger.record_unanswered(peer, start_time);
    EXPECT_FALSE(messenger.is_silent(peer)) << "heard since the requests were sent";
}

// Documents the behaviour as it is: a peer's idle time counts from its latest flush, so that a message whose
// first flush is still to come is lost with its peer.
TEST_F(PeerMessengerTest, APeerWithoutAFlushExpiresWithItsOutbox) {
    post(1, false);

    messenger.expire_idle(10s);

    EXPECT_EQ(messenger.queueing_delay(peer), 0us);
    event.advance(1s);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 0u);
}

}  // namespace
}  // namespace gateway::decision

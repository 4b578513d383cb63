#include "peer_messenger.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr int peer = 3;
constexpr int burst = 3;
// The interval at 80 messages per second, the usable share of a receive rate of 100.
constexpr Micros send_interval = 12'500us;

class PeerMessengerTest : public testing::Test {
  protected:
    void post(int count, bool urgent) {
        for (int posted = 0; posted < count; ++posted) messenger.post(peer, LeaseRequest{}, urgent);
    }
    // Advances the time until the peer's outbox is flushed.
    void flush() {
        event.advance(messenger.queueing_delay(peer));
        messenger.on_flush_timer(peer);
    }
    std::size_t sent() const { return event.emitted<SendMessage>().size(); }
    static MessageArrived message_of(std::string bytes) { return {peer, std::move(bytes)}; }

    EventContext event{fleet_settings(4)};
    PeerMessenger messenger{event.context};
};

TEST_F(PeerMessengerTest, UrgentMessagesAreSentImmediatelyUntilTheBurstIsSpent) {
    post(burst, true);
    EXPECT_EQ(sent(), 3u);
    EXPECT_EQ(messenger.queueing_delay(peer), 0us);

    post(1, true);
    EXPECT_EQ(sent(), 3u);
    EXPECT_EQ(messenger.queueing_delay(peer), send_interval);
    flush();
    EXPECT_EQ(sent(), 4u);
}

TEST_F(PeerMessengerTest, OtherMessagesAreBatched) {
    post(2, false);
    EXPECT_EQ(sent(), 0u);
    EXPECT_EQ(event.emitted<SetTimer>().size(), 1u);
    EXPECT_EQ(messenger.queueing_delay(peer), messenger.batching_delay());

    event.advance(messenger.batching_delay() - 1us);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 0u) << "a flush timer that fires too early is ignored";
    event.advance(1us);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 1u);
    EXPECT_EQ(event.sent_to_peers<LeaseRequest>().size(), 2u);
}

TEST_F(PeerMessengerTest, FullOutboxDropsFurtherMessages) {
    post(250, false);

    while (messenger.queueing_delay(peer) > 0us) flush();

    EXPECT_EQ(event.sent_to_peers<LeaseRequest>().size(), 200u);
}

TEST_F(PeerMessengerTest, PeerIsSilentForOneSecondAfterTwoUnansweredRequests) {
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

TEST_F(PeerMessengerTest, OnlyAValidMessageProvesThatAPeerIsAlive) {
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
    EXPECT_FALSE(messenger.is_silent(peer)) << "the peer has sent a message since the requests were sent";
}

// Documents the current behaviour: the idle time of a peer starts at its latest flush. A peer that was never
// flushed expires together with the messages in its outbox.
TEST_F(PeerMessengerTest, PeerThatWasNeverFlushedExpiresWithItsOutbox) {
    post(1, false);

    messenger.expire_idle(10s);

    EXPECT_EQ(messenger.queueing_delay(peer), 0us);
    event.advance(1s);
    messenger.on_flush_timer(peer);
    EXPECT_EQ(sent(), 0u);
}

}  // namespace
}  // namespace gateway::decision

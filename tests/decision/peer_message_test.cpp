#include "peer_message.h"

#include <gtest/gtest.h>

#include <random>

using namespace gateway::decision;

TEST(PeerMessage, GoesAndComesBack) {
    const LeaseRequest ask{77, 0xFFFFFFFF, 3, 512, 511, 1.01, 2, 0.5};
    const LeaseGrant given{78, 2.99, 1, 1500, 40.5};
    const auto back = decode(encode({ask, given}));
    ASSERT_TRUE(back);
    ASSERT_EQ(back->size(), 2u);
    const LeaseRequest& a = std::get<LeaseRequest>(back->at(0));
    EXPECT_EQ(a.nonce, 77u);
    EXPECT_EQ(a.customer, 0xFFFFFFFFu);
    EXPECT_EQ(a.plan, 3);
    EXPECT_EQ(a.set_size, 512);
    EXPECT_EQ(a.set_start, 511);
    EXPECT_EQ(a.required_units, 1.0625);  // asks are rounded up, parts given down
    EXPECT_EQ(a.prefetch_units, 2);
    EXPECT_EQ(a.ceiling_units, 0.5);
    const LeaseGrant& g = std::get<LeaseGrant>(back->at(1));
    EXPECT_EQ(g.nonce, 78u);
    EXPECT_EQ(g.units, 2.9375);
    EXPECT_EQ(g.ceiling_units, 1);
    EXPECT_EQ(g.retry_after_ms, 1500u);
    EXPECT_EQ(g.demand, 40.5);
}

TEST(PeerMessage, SlotsGoAndComeBack) {
    const auto back =
        decode(encode({PermitRequest{77, 0xFFFFFFFF, 3, 512, 511, 300}, PermitGrant{78, 5, 2, 9}}));
    ASSERT_TRUE(back);
    ASSERT_EQ(back->size(), 2u);
    const PermitRequest& r = std::get<PermitRequest>(back->at(0));
    EXPECT_EQ(r.nonce, 77u);
    EXPECT_EQ(r.customer, 0xFFFFFFFFu);
    EXPECT_EQ(r.plan, 3);
    EXPECT_EQ(r.set_size, 512);
    EXPECT_EQ(r.set_start, 511);
    EXPECT_EQ(r.wanted, 255);
    const PermitGrant& g = std::get<PermitGrant>(back->at(1));
    EXPECT_EQ(g.nonce, 78u);
    EXPECT_EQ(g.customer, 5u);
    EXPECT_EQ(g.granted, 2);
    EXPECT_EQ(g.queue_length, 9);
}

TEST(PeerMessage, AFullOneFits) {
    const std::string bytes = encode(std::vector<PeerMessage>(max_records_per_message + 3, LeaseRequest{}));
    EXPECT_LE(bytes.size(), max_message_bytes);
    ASSERT_TRUE(decode(bytes));
    EXPECT_EQ(decode(bytes)->size(), max_records_per_message);
}

TEST(PeerMessage, ForeignBytesAreDropped) {
    std::mt19937_64 random(5);
    const std::string good = encode({LeaseRequest{}, LeaseGrant{}, PermitRequest{}, PermitGrant{}});
    for (std::size_t cut = 0; cut < good.size(); ++cut) EXPECT_FALSE(decode(good.substr(0, cut)));
    EXPECT_FALSE(decode(std::string(300, 'x')));
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bent = good;
        bent[i] = static_cast<char>(bent[i] ^ 0x20);
        EXPECT_FALSE(decode(bent)) << i;
    }
    int taken = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bytes(random() % 257, ' ');
        for (char& b : bytes) b = static_cast<char>(random());
        taken += decode(bytes).has_value();
    }
    EXPECT_EQ(taken, 0);
}

#include "peer_message.h"

#include <gtest/gtest.h>

#include <random>

using namespace gateway::decision;

TEST(PeerMessage, DecodesEncodedLeaseMessages) {
    const LeaseRequest request{77, 0xFFFFFFFF, 3, 512, 511, 1.01, 2, 0.5};
    const LeaseGrant grant{78, 2.99, 1, 1500, 40.5};
    const auto decoded = decode(encode({request, grant}));
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->size(), 2u);
    const LeaseRequest& decoded_request = std::get<LeaseRequest>(decoded->at(0));
    EXPECT_EQ(decoded_request.nonce, 77u);
    EXPECT_EQ(decoded_request.customer, 0xFFFFFFFFu);
    EXPECT_EQ(decoded_request.plan, 3);
    EXPECT_EQ(decoded_request.set_size, 512);
    EXPECT_EQ(decoded_request.set_start, 511);
    // Units of requests are rounded up, units of grants down.
    EXPECT_EQ(decoded_request.required_units, 1.0625);
    EXPECT_EQ(decoded_request.prefetch_units, 2);
    EXPECT_EQ(decoded_request.ceiling_units, 0.5);
    const LeaseGrant& decoded_grant = std::get<LeaseGrant>(decoded->at(1));
    EXPECT_EQ(decoded_grant.nonce, 78u);
    EXPECT_EQ(decoded_grant.units, 2.9375);
    EXPECT_EQ(decoded_grant.ceiling_units, 1);
    EXPECT_EQ(decoded_grant.retry_after_ms, 1500u);
    EXPECT_EQ(decoded_grant.demand, 40.5);
}

TEST(PeerMessage, DecodesEncodedPermitMessages) {
    const auto decoded =
        decode(encode({PermitRequest{77, 0xFFFFFFFF, 3, 512, 511, 300}, PermitGrant{78, 5, 2, 9}}));
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->size(), 2u);
    const PermitRequest& decoded_request = std::get<PermitRequest>(decoded->at(0));
    EXPECT_EQ(decoded_request.nonce, 77u);
    EXPECT_EQ(decoded_request.customer, 0xFFFFFFFFu);
    EXPECT_EQ(decoded_request.plan, 3);
    EXPECT_EQ(decoded_request.set_size, 512);
    EXPECT_EQ(decoded_request.set_start, 511);
    EXPECT_EQ(decoded_request.requested, 255);
    const PermitGrant& decoded_grant = std::get<PermitGrant>(decoded->at(1));
    EXPECT_EQ(decoded_grant.nonce, 78u);
    EXPECT_EQ(decoded_grant.customer, 5u);
    EXPECT_EQ(decoded_grant.granted, 2);
    EXPECT_EQ(decoded_grant.queue_length, 9);
}

TEST(PeerMessage, MaximumNumberOfRecordsFitsIntoADatagram) {
    const std::string bytes = encode(std::vector<PeerMessage>(max_records_per_message + 3, LeaseRequest{}));
    EXPECT_LE(bytes.size(), max_message_bytes);
    ASSERT_TRUE(decode(bytes));
    EXPECT_EQ(decode(bytes)->size(), max_records_per_message);
}

TEST(PeerMessage, InvalidDatagramsAreNotDecoded) {
    std::mt19937_64 random(5);
    const std::string valid = encode({LeaseRequest{}, LeaseGrant{}, PermitRequest{}, PermitGrant{}});
    for (std::size_t size = 0; size < valid.size(); ++size) EXPECT_FALSE(decode(valid.substr(0, size)));
    EXPECT_FALSE(decode(std::string(300, 'x')));
    for (std::size_t i = 0; i < valid.size(); ++i) {
        std::string corrupted = valid;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 0x20);
        EXPECT_FALSE(decode(corrupted)) << i;
    }
    int decoded_count = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bytes(random() % 257, ' ');
        for (char& byte : bytes) byte = static_cast<char>(random());
        decoded_count += decode(bytes).has_value();
    }
    EXPECT_EQ(decoded_count, 0);
}

#include "lease_holder.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {

TEST(LeaseHolder, IsWithinASetThatWrapsAround) {
    // Ranks 6, 7 and 0.
    CustomerSet set{.customer = 0, .set_size = 3, .set_start = 6};
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 6);
    set.customer = 1;
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 7);
    set.customer = 2;
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 0);
}

TEST(LeaseHolder, SetOfOneGatewayHasNoFallbackHolder) {
    const CustomerSet set{.customer = 99, .set_size = 1, .set_start = 3};

    for (int fallback = 0; fallback < 3; ++fallback)
        EXPECT_EQ(lease_holder(fleet_settings(8), set, fallback), 3);
}

TEST(LeaseHolder, FirstFallbackHolderIsAnotherGateway) {
    for (int size = 2; size <= 64; ++size) {
        const CustomerSet set{.customer = 12345, .set_size = size, .set_start = 0};
        EXPECT_NE(lease_holder(fleet_settings(64), set, 0), lease_holder(fleet_settings(64), set, 1)) << size;
    }
}

// Documents the current behaviour: sets of 4 and 6 gateways are large enough for a second fallback holder,
// but have none.
TEST(LeaseHolder, SecondFallbackHolderIsTheLeaseHolderInSetsOfTwoFourAndSix) {
    for (int size = 2; size <= 64; ++size) {
        const CustomerSet set{.customer = 12345, .set_size = size, .set_start = 0};
        const bool same_gateway =
            lease_holder(fleet_settings(64), set, 0) == lease_holder(fleet_settings(64), set, 2);
        EXPECT_EQ(same_gateway, size == 2 || size == 4 || size == 6) << size;
    }
}

}  // namespace
}  // namespace gateway::decision

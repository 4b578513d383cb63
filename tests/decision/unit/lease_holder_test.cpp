#include "lease_holder.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {

TEST(LeaseHolder, LiesWithinTheSetAlsoWhereThatWrapsAround) {
    // Ranks 6, 7 and 0.
    CustomerSet set{.customer = 0, .set_size = 3, .set_start = 6};
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 6);
    set.customer = 1;
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 7);
    set.customer = 2;
    EXPECT_EQ(lease_holder(fleet_settings(8), set), 0);
}

TEST(LeaseHolder, ASetOfOneGatewayHasNoOther) {
    const CustomerSet set{.customer = 99, .set_size = 1, .set_start = 3};

    for (int place = 0; place < 3; ++place) EXPECT_EQ(lease_holder(fleet_settings(8), set, place), 3);
}

TEST(LeaseHolder, TheFirstFallbackIsAnotherGateway) {
    for (int size = 2; size <= 64; ++size) {
        const CustomerSet set{.customer = 12345, .set_size = size, .set_start = 0};
        EXPECT_NE(lease_holder(fleet_settings(64), set, 0), lease_holder(fleet_settings(64), set, 1)) << size;
    }
}

// Documents the behaviour as it is: sets of 4 and 6 could have a second fallback and have none.
TEST(LeaseHolder, TheSecondFallbackIsTheHolderAgainInSetsOfTwoFourAndSix) {
    for (int size = 2; size <= 64; ++size) {
        const CustomerSet set{.customer = 12345, .set_size = size, .set_start = 0};
        const bool same =
            lease_holder(fleet_settings(64), set, 0) == lease_holder(fleet_settings(64), set, 2);
        EXPECT_EQ(same, size == 2 || size == 4 || size == 6) << size;
    }
}

}  // namespace
}  // namespace gateway::decision

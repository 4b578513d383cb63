#include "request_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace gateway::decision {
namespace {

class RequestQueueTest : public testing::Test {
  protected:
    // The requests in the queue, the newest first.
    std::vector<RequestId> contents() {
        std::vector<RequestId> ids;
        queue.offer_newest_first([&ids](RequestId id) {
            ids.push_back(id);
            return false;
        });
        return ids;
    }

    RequestQueue queue;
};

TEST_F(RequestQueueTest, OneRequestMayWaitIfNoHostIsListed) {
    EXPECT_EQ(queue.pop_overflow(0), std::nullopt);
    queue.push(1);
    EXPECT_EQ(queue.pop_overflow(0), std::nullopt);

    queue.push(2);
    EXPECT_EQ(queue.pop_overflow(0), RequestId{1}) << "the request that has waited longest";
    EXPECT_EQ(queue.pop_overflow(0), std::nullopt);
}

TEST_F(RequestQueueTest, EachListedHostAllowsHalfARequestMoreToWait) {
    for (RequestId id = 1; id <= 3; ++id) queue.push(id);

    EXPECT_EQ(queue.pop_overflow(4), std::nullopt);
    EXPECT_EQ(queue.pop_overflow(3), RequestId{1});
}

TEST_F(RequestQueueTest, RequestsAreOfferedNewestFirstAndRemovedIfTheyLeaveTheQueue) {
    for (RequestId id = 1; id <= 4; ++id) queue.push(id);

    queue.offer_newest_first([](RequestId id) { return id % 2 == 0; });

    EXPECT_EQ(contents(), (std::vector<RequestId>{3, 1}));
}

}  // namespace
}  // namespace gateway::decision

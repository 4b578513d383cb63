#include "in_flight_requests.h"

#include <gtest/gtest.h>

namespace gateway::server::test {
namespace {

InFlightRequest request_with_trace(const std::string& trace_id) {
    InFlightRequest request;
    request.trace_id = trace_id;
    return request;
}

TEST(InFlightRequests, FindsARequestUntilItIsErased) {
    InFlightRequests requests;
    EXPECT_EQ(requests.find(7), nullptr);
    const InFlightRequest& added = requests.add(7, request_with_trace("a"));
    EXPECT_EQ(requests.find(7), &added);
    EXPECT_EQ(requests.size(), 1u);
    requests.erase(7);
    requests.erase(7);
    EXPECT_EQ(requests.find(7), nullptr);
    EXPECT_EQ(requests.size(), 0u);
}

TEST(InFlightRequests, ContainsExactlyTheTraceIdsInFlight) {
    InFlightRequests requests;
    for (decision::RequestId id = 1; id <= 100; ++id)
        requests.add(id, request_with_trace(std::string("t").append(std::to_string(id))));
    requests.erase(2);
    EXPECT_TRUE(requests.contains_trace_id("t1"));
    EXPECT_FALSE(requests.contains_trace_id("t2"));
    EXPECT_TRUE(requests.contains_trace_id("t100"));
}

TEST(InFlightRequests, ListsTheUnansweredRequests) {
    InFlightRequests requests;
    requests.add(1, request_with_trace("a")).answered = true;
    requests.add(2, request_with_trace("b"));
    EXPECT_EQ(requests.unanswered(), std::vector<decision::RequestId>{2});
    EXPECT_EQ(requests.size(), 2u);
}

}  // namespace
}  // namespace gateway::server::test

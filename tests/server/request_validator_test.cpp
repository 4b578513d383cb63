#include "request_validator.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace gateway::server::test {
namespace {
using namespace std::chrono_literals;

decision::Settings settings() {
    decision::Settings settings;
    settings.instances = 4;
    settings.max_units = 8;
    decision::RequestClass read;
    read.name = "read";
    read.deadline = 100ms;
    decision::RequestClass write = read;
    write.name = "write";
    write.idempotency = decision::Idempotency::not_idempotent;
    settings.classes = {read, write};
    decision::Plan plan;
    plan.name = "basic";
    settings.plans = {plan};
    return settings;
}

Request valid_request() {
    Request request{http::verb::get, "/api", 11};
    request.set(http::field::host, "origin.svc");
    request.set("X-Trace-Id", "a");
    request.set("X-Qos", "read");
    request.set("X-Contract", "basic");
    request.set("X-Client-Id", "00000000B4D65521");
    return request;
}

struct RequestValidatorTest : ::testing::Test {
    RequestValidator validator{settings()};
    RequestAttributes attributes;

    // Returns the error message; empty if the request is valid.
    std::string error_of(const Request& request) {
        const std::optional<RequestError> error = validator.validate(request, attributes);
        return error ? error->message : "";
    }
};

TEST_F(RequestValidatorTest, ReadsTheAttributesOfAValidRequest) {
    Request request = valid_request();
    request.set("X-Expires-In-Ms", "70");
    request.set("X-Metering", "units=2.5,spread=3,first=1");
    EXPECT_EQ(error_of(request), "");
    EXPECT_EQ(attributes.trace_id, "a");
    EXPECT_EQ(attributes.customer, "00000000b4d65521");
    EXPECT_EQ(attributes.request_class, 0);
    EXPECT_EQ(attributes.plan, 0);
    EXPECT_EQ(attributes.units, 2.5);
    EXPECT_EQ(attributes.set_size, 3);
    EXPECT_EQ(attributes.set_start, 1);
    EXPECT_EQ(attributes.time_left, 70ms);
}

TEST_F(RequestValidatorTest, UsesTheSettingsForOmittedHeaders) {
    Request request = valid_request();
    // Longer than the deadline of the class.
    request.set("X-Expires-In-Ms", "100000");
    EXPECT_EQ(error_of(request), "");
    EXPECT_EQ(attributes.units, 1);
    EXPECT_EQ(attributes.set_size, 4);
    EXPECT_EQ(attributes.set_start, 0);
    EXPECT_EQ(attributes.time_left, 100ms);
}

TEST_F(RequestValidatorTest, ErrorsNameTheInvalidHeader) {
    const std::vector<std::pair<std::string, std::string>> invalid{
        {"X-Trace-Id", ""},
        {"X-Trace-Id", std::string(129, 'a')},
        {"X-Qos", "unknown"},
        {"X-Contract", "unknown"},
        {"X-Client-Id", "0000000b4d65521"},
        {"X-Client-Id", "0000000200000000"},
        {"X-Expires-In-Ms", "-1"},
        {"X-Expires-In-Ms", "1.5"},
        {"X-Metering", "units=0"},
        {"X-Metering", "units=9"},
        {"X-Metering", "units=1,units=1"},
        {"X-Metering", "spread=5"},
        {"X-Metering", "first=4"},
        {"X-Metering", "units"},
    };
    for (const auto& [header, value] : invalid) {
        Request request = valid_request();
        request.set(header, value);
        EXPECT_EQ(error_of(request).rfind(header + ": expected", 0), 0u) << header << ": " << value;
    }
}

TEST_F(RequestValidatorTest, RejectsAHeaderThatIsSentTwice) {
    Request request = valid_request();
    request.insert("x-qos", "write");
    EXPECT_EQ(error_of(request), "X-Qos: expected once");
}

TEST_F(RequestValidatorTest, RejectsAMethodOrABodyThatTheClassDoesNotAllow) {
    Request request = valid_request();
    request.method(http::verb::post);
    const std::optional<RequestError> error = validator.validate(request, attributes);
    ASSERT_TRUE(error);
    EXPECT_EQ(error->status, http::status::method_not_allowed);
    request.method(http::verb::head);
    EXPECT_EQ(error_of(request), "");
    request.body() = "GET / HTTP/1.1";
    EXPECT_EQ(error_of(request), "body: expected none in this class");
    request.set("X-Qos", "write");
    request.method(http::verb::post);
    EXPECT_EQ(error_of(request), "");
}

}  // namespace
}  // namespace gateway::server::test

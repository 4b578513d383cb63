// The validation of client requests before they reach the decision module.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/interface.h"
#include "http.h"

namespace gateway::server {

// The attributes of a request, read from its headers and checked against the settings.
struct RequestAttributes {
    std::string trace_id;
    // The customer's id: 16 lowercase hexadecimal digits.
    std::string customer;
    // An index into Settings::classes.
    int request_class = 0;
    // An index into Settings::plans; empty if the settings have no plans.
    std::optional<int> plan;
    double units = 1;
    // The number of gateways through which the customer's requests arrive.
    int set_size = 1;
    // The rank of the first of these gateways.
    int set_start = 0;
    // The time from the request's arrival until its client stops waiting.
    std::chrono::microseconds time_left{0};
};

// The reason why a request is invalid.
struct RequestError {
    // The status of the response.
    http::status status = http::status::bad_request;
    // The invalid header and the expected value.
    std::string message;
};

// Rejects requests with invalid attributes, which would otherwise be charged to a real customer's quota or
// executed by a host.
class RequestValidator {
  public:
    explicit RequestValidator(const decision::Settings& settings);
    // Fills `attributes` from the request. If the request is invalid, returns the error, and `attributes` is
    // only partly filled.
    [[nodiscard]] std::optional<RequestError> validate(const Request& request,
                                                       RequestAttributes& attributes) const;

  private:
    struct RequestClass {
        // An index into Settings::classes.
        int index;
        bool is_safe;
        std::chrono::microseconds deadline;
    };
    using Error = std::optional<RequestError>;

    [[nodiscard]] Error read_class(const Request& request, std::string_view name,
                                   RequestAttributes& attributes) const;
    [[nodiscard]] Error read_plan(std::string_view name, RequestAttributes& attributes) const;
    [[nodiscard]] Error read_metering(std::string_view text, RequestAttributes& attributes) const;

    // Both maps are keyed by name.
    std::unordered_map<std::string, RequestClass> classes_;
    std::unordered_map<std::string, int> plans_;
    int instances_;
    // The maximum units of one request.
    double max_units_;
};

}  // namespace gateway::server

// Validation of clients' requests before the decision module sees them.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/interface.h"
#include "http.h"

namespace gateway::server {

// What a request's own headers say, checked against the settings.
struct RequestAttributes {
    std::string trace_id;
    std::string customer;     // 16 lowercase hexadecimal digits
    int request_class = 0;    // index into Settings::classes
    std::optional<int> plan;  // index into Settings::plans; none if the settings have no plans
    double units = 1;
    int set_size = 1;                        // gateways through which the customer's requests arrive
    int set_start = 0;                       // rank of the first of them
    std::chrono::microseconds time_left{0};  // from the request's arrival until its client gives up
};

// Why a request is invalid.
struct RequestError {
    http::status status = http::status::bad_request;  // of the answer
    std::string message;                              // the header that is wrong and what was expected
};

// Rejects requests that would be counted against a real customer's quota, or executed by a host, with
// attributes that can't be right.
class RequestValidator {
  public:
    explicit RequestValidator(const decision::Settings& settings);
    // Fills `attributes` from the request. If the request is invalid, returns why, and `attributes` is filled
    // in part only.
    [[nodiscard]] std::optional<RequestError> validate(const Request& request,
                                                       RequestAttributes& attributes) const;

  private:
    struct RequestClass {
        int index;  // into Settings::classes
        bool is_safe;
        std::chrono::microseconds deadline;
    };
    using Error = std::optional<RequestError>;

    [[nodiscard]] Error read_class(const Request& request, std::string_view name,
                                   RequestAttributes& attributes) const;
    [[nodiscard]] Error read_plan(std::string_view name, RequestAttributes& attributes) const;
    [[nodiscard]] Error read_metering(std::string_view text, RequestAttributes& attributes) const;

    std::unordered_map<std::string, RequestClass> classes_;  // by name
    std::unordered_map<std::string, int> plans_;             // by name
    int instances_;
    double max_units_;  // of one request
};

}  // namespace gateway::server

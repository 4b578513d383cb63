#include "request_validator.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace gateway::server {
namespace {
// Trace ids have 16 digits. This larger limit bounds the memory for the trace ids of requests in flight.
constexpr std::size_t max_trace_id_length = 128;
constexpr std::size_t customer_length = 16;
// Customer ids are numbers below this limit.
constexpr std::uint64_t customer_limit = 1ull << 33;

enum HeaderIndex : std::size_t { trace, qos, contract, client, expires, metering, second_try, header_count };
constexpr std::array<std::string_view, header_count> header_names{
    "X-Trace-Id", "X-Qos", "X-Contract", "X-Client-Id", "X-Expires-In-Ms", "X-Metering", "X-Second-Try"};

// The values of the headers in `header_names`, as views into the request.
struct Headers {
    std::array<std::string_view, header_count> values;
    std::array<bool, header_count> present{};
};

RequestError bad_request(std::string message) { return {http::status::bad_request, std::move(message)}; }

template <class Number, class... Base>
bool read_number(std::string_view text, Number& number, Base... base) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base...);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::optional<std::size_t> find_header(boost::beast::string_view name) {
    for (std::size_t i = 0; i < header_count; ++i)
        if (boost::beast::iequals(name, {header_names[i].data(), header_names[i].size()})) return i;
    return std::nullopt;
}

std::optional<RequestError> read_headers(const Request& request, Headers& headers) {
    int host_headers = 0;
    for (const auto& field : request) {
        if (field.name() == http::field::host) ++host_headers;
        if (field.name() != http::field::unknown) continue;
        const std::optional<std::size_t> index = find_header(field.name_string());
        if (!index) continue;
        // A header that is sent twice is ambiguous: one gateway or host could use the first value, and
        // another one the second.
        if (std::exchange(headers.present[*index], true))
            return bad_request(std::string(header_names[*index]) + ": expected once");
        headers.values[*index] = {field.value().data(), field.value().size()};
    }
    if (host_headers > 1 || (host_headers == 0 && request.version() >= 11))
        return bad_request("Host: expected once");
    if (request.target().empty() || request.target().front() != '/')
        return bad_request("target: expected a path");
    return std::nullopt;
}

std::optional<RequestError> read_trace_id(std::string_view text, RequestAttributes& attributes) {
    const auto is_visible = [](char character) { return character > ' ' && character < 0x7f; };
    if (text.empty() || text.size() > max_trace_id_length ||
        !std::all_of(text.begin(), text.end(), is_visible))
        return bad_request("X-Trace-Id: expected an id");
    attributes.trace_id = text;
    return std::nullopt;
}

std::optional<RequestError> read_customer(std::string_view text, RequestAttributes& attributes) {
    attributes.customer = text;
    // The customer's lease holder is determined from this text, so it must be the same at every gateway.
    for (char& digit : attributes.customer)
        digit = static_cast<char>(digit >= 'A' && digit <= 'F' ? digit - 'A' + 'a' : digit);
    std::uint64_t number = 0;
    if (attributes.customer.size() != customer_length || !read_number(attributes.customer, number, 16) ||
        number >= customer_limit)
        return bad_request("X-Client-Id: expected 16 hexadecimal digits, a number below 2^33");
    return std::nullopt;
}

// Expects the deadline of the request's class in `attributes.time_left` and lowers it to the header's value.
// A higher value has no effect, which limits how long the gateway holds a request.
std::optional<RequestError> read_expiry(std::string_view text, RequestAttributes& attributes) {
    std::int64_t milliseconds = 0;
    if (!read_number(text, milliseconds) || milliseconds < 0)
        return bad_request("X-Expires-In-Ms: expected whole milliseconds");
    if (milliseconds < std::chrono::floor<std::chrono::milliseconds>(attributes.time_left).count())
        attributes.time_left = std::chrono::milliseconds(milliseconds);
    return std::nullopt;
}
}  // namespace

RequestValidator::RequestValidator(const decision::Settings& settings)
    : instances_(settings.instances),
      max_units_(settings.max_units > 0 ? settings.max_units : std::numeric_limits<double>::max()) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const decision::RequestClass& request_class = settings.classes[i];
        const bool is_safe = request_class.idempotency == decision::Idempotency::idempotent;
        classes_.emplace(request_class.name,
                         RequestClass{static_cast<int>(i), is_safe, request_class.deadline});
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i)
        plans_.emplace(settings.plans[i].name, static_cast<int>(i));
}

std::optional<RequestError> RequestValidator::validate(const Request& request,
                                                       RequestAttributes& attributes) const {
    Headers headers;
    if (Error error = read_headers(request, headers)) return error;
    if (Error error = read_trace_id(headers.values[trace], attributes)) return error;
    if (Error error = read_class(request, headers.values[qos], attributes)) return error;
    if (Error error = read_plan(headers.values[contract], attributes)) return error;
    if (Error error = read_customer(headers.values[client], attributes)) return error;
    if (headers.present[expires])
        if (Error error = read_expiry(headers.values[expires], attributes)) return error;
    attributes.set_size = instances_;
    attributes.set_start = 0;
    attributes.units = std::min(1.0, max_units_);
    if (!headers.present[metering]) return std::nullopt;
    return read_metering(headers.values[metering], attributes);
}

std::optional<RequestError> RequestValidator::read_class(const Request& request, std::string_view name,
                                                         RequestAttributes& attributes) const {
    const auto found = classes_.find(std::string(name));
    if (found == classes_.end()) return bad_request("X-Qos: expected a known class");
    const RequestClass& request_class = found->second;
    attributes.request_class = request_class.index;
    // The request class determines the method. A safe request must have no body, because a second request
    // could be hidden in it.
    const bool is_head = request_class.is_safe && request.method() == http::verb::head;
    const http::verb expected_method = request_class.is_safe ? http::verb::get : http::verb::post;
    if (!is_head && request.method() != expected_method)
        return RequestError{http::status::method_not_allowed, "method: expected the class's own"};
    if (request_class.is_safe && !request.body().empty())
        return bad_request("body: expected none in this class");
    attributes.time_left = request_class.deadline;
    return std::nullopt;
}

std::optional<RequestError> RequestValidator::read_plan(std::string_view name,
                                                        RequestAttributes& attributes) const {
    if (plans_.empty()) return std::nullopt;
    const auto found = plans_.find(std::string(name));
    if (found == plans_.end()) return bad_request("X-Contract: expected a known plan");
    attributes.plan = found->second;
    return std::nullopt;
}

// Reads a value such as "units=2,spread=3,first=1". A request of 0 units is invalid, because it would pass
// every quota, and hosts reject it.
std::optional<RequestError> RequestValidator::read_metering(std::string_view text,
                                                            RequestAttributes& attributes) const {
    bool has_units = false;
    bool has_spread = false;
    bool has_first = false;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos)
            return bad_request("X-Metering: expected units=N,spread=N,first=N");
        std::string_view name = field.substr(0, equals);
        while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
        const std::string_view value = field.substr(equals + 1);
        if (name == "units") {
            if (std::exchange(has_units, true) || !read_number(value, attributes.units) ||
                !std::isfinite(attributes.units) || attributes.units <= 0 || attributes.units > max_units_)
                return bad_request("X-Metering: expected units above 0, the settings' most at most");
        } else if (name == "spread") {
            if (std::exchange(has_spread, true) || !read_number(value, attributes.set_size) ||
                attributes.set_size < 1 || attributes.set_size > instances_)
                return bad_request("X-Metering: expected a spread of 1 to the number of gateways");
        } else if (name == "first") {
            if (std::exchange(has_first, true) || !read_number(value, attributes.set_start) ||
                attributes.set_start < 0 || attributes.set_start >= instances_)
                return bad_request("X-Metering: expected first to be a gateway's number");
        }
    }
    return std::nullopt;
}

}  // namespace gateway::server

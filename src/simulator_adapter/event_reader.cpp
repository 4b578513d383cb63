#include "event_reader.h"

#include <array>
#include <charconv>
#include <utility>

#include "base64.h"

namespace gateway::simulator {
namespace {

using namespace decision;
using namespace json;

// The plan index of a request without a known plan.
constexpr int unknown_plan = -1;

Outcome read_outcome(std::string_view status) {
    static constexpr std::array<std::pair<std::string_view, Outcome>, 8> outcomes{
        {{"GOOD", Outcome::success},
         {"BAD", Outcome::error},
         {"FULL", Outcome::rejected},
         {"LATE", Outcome::timeout},
         {"NOCONN", Outcome::connect_failed},
         {"RST", Outcome::reset},
         {"CXL", Outcome::cancelled},
         {"NOP", Outcome::not_sent}}};
    for (const auto& [name, outcome] : outcomes)
        if (name == status) return outcome;
    throw_bad_value("status", "GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP");
}

LoadReport read_load_report(const Fields& fields, std::size_t position) {
    LoadReport report;
    const auto value = fields.optional(position);
    if (!value) return report;
    const object feedback = as_object(*value, "feedback");
    read(feedback, "backlog", report.queued);
    read(feedback, "outstanding", report.outstanding);
    read(feedback, "utilization", report.utilization);
    return report;
}

// Returns no value if the text is not a decimal number.
std::optional<std::uint64_t> parse_token(std::string_view text) {
    std::uint64_t token = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, token);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return token;
}

}  // namespace

SettingsIndex::SettingsIndex(const Settings& settings) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        classes_.emplace(settings.classes[i].name, static_cast<int>(i));
    for (std::size_t i = 0; i < settings.plans.size(); ++i)
        plans_.emplace(settings.plans[i].name, static_cast<int>(i));
}

std::optional<int> SettingsIndex::request_class(std::string_view name) const {
    const auto found = classes_.find(std::string(name));
    if (found == classes_.end()) return std::nullopt;
    return found->second;
}

std::optional<int> SettingsIndex::plan(std::string_view name) const {
    const auto found = plans_.find(std::string(name));
    if (found == plans_.end()) return std::nullopt;
    return found->second;
}

std::optional<HostsChanged> read_hosts_changed(const Fields& fields, const HostLists& lists) {
    const std::string_view kind = as_text(fields.required(1, "kind"), "kind");
    if (kind == "unavailable") return std::nullopt;
    const std::int64_t slot = as_integer(fields.required(3, "slot"), "slot");
    return HostsChanged{kind != "update", lists.at(slot)};
}

RequestArrived read_request_arrived(const Fields& fields, const SettingsIndex& index) {
    RequestArrived request;
    request.id = as_unsigned(fields.required(1, "xid"), "xid");
    if (const auto size = fields.optional(2))
        request.set_size = static_cast<int>(as_integer(*size, "nEntries"));
    if (const auto start = fields.optional(3))
        request.set_start = static_cast<int>(as_integer(*start, "setStart"));
    request.time_left = Micros(as_integer(fields.required(4, "timeLeftUs"), "timeLeftUs"));
    if (const auto customer = fields.optional(5)) request.customer = as_text(*customer, "apiKey");
    request.plan = unknown_plan;
    if (const auto plan = fields.optional(7))
        request.plan = index.plan(as_text(*plan, "contract")).value_or(unknown_plan);
    const auto request_class = index.request_class(as_text(fields.required(8, "category"), "category"));
    if (!request_class) throw_bad_value("category", "a class of the settings");
    request.request_class = *request_class;
    if (const auto units = fields.optional(9)) request.units = as_number(*units, "sizeUnits");
    return request;
}

AttemptEnded read_attempt_ended(const Fields& fields) {
    AttemptEnded attempt;
    attempt.id = as_unsigned(fields.required(1, "xid"), "xid");
    attempt.attempt = static_cast<int>(as_integer(fields.required(2, "sendNo"), "sendNo"));
    attempt.host = as_text(fields.required(3, "host"), "host");
    attempt.outcome = read_outcome(as_text(fields.required(4, "status"), "status"));
    if (const auto elapsed = fields.optional(5))
        attempt.elapsed = Micros(as_integer(*elapsed, "timeTakenUs"));
    attempt.request_completed = as_bool(fields.required(6, "settled"), "settled");
    if (const auto units = fields.optional(8)) attempt.actual_units = as_number(*units, "actual");
    attempt.report = read_load_report(fields, 9);
    return attempt;
}

ClientDisconnected read_client_disconnected(const Fields& fields) {
    return {as_unsigned(fields.required(1, "xid"), "xid")};
}

MessageArrived read_message_arrived(const Fields& fields) {
    const auto bytes = decode_base64(as_text(fields.required(2, "bytes"), "bytes"));
    if (!bytes) throw_bad_value("bytes", "padded base64");
    const auto from = static_cast<int>(as_integer(fields.required(1, "neighbour"), "neighbour"));
    return {from, *bytes};
}

HealthCheckEnded read_health_check_ended(const Fields& fields) {
    HealthCheckEnded check;
    check.host = as_text(fields.required(1, "host"), "host");
    check.outcome = read_outcome(as_text(fields.required(2, "status"), "status"));
    if (const auto elapsed = fields.optional(3)) check.elapsed = Micros(as_integer(*elapsed, "timeTakenUs"));
    check.report = read_load_report(fields, 4);
    return check;
}

std::optional<TimerFired> read_timer_fired(const Fields& fields) {
    const auto token = parse_token(as_text(fields.required(1, "label"), "label"));
    if (!token) return std::nullopt;
    return TimerFired{*token};
}

}  // namespace gateway::simulator

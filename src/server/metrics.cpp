#include "metrics.h"

#include <string_view>

namespace gateway::server {
namespace {
void add_type(std::string& text, std::string_view name) {
    text.append("# TYPE ").append(name).append(" counter\n");
}
void add_counter(std::string& text, std::string_view name, std::uint64_t count) {
    add_type(text, name);
    text.append(name).append(" ").append(std::to_string(count)).append("\n");
}
void add_sample(std::string& text, std::string_view name, std::string_view label, std::string_view value,
                std::uint64_t count) {
    text.append(name).append("{").append(label).append("=\"").append(value).append("\"} ");
    text.append(std::to_string(count)).append("\n");
}
// Appends a metric with one sample for each label value in `counts`.
template <class Counts>
void add_family(std::string& text, std::string_view name, std::string_view label, const Counts& counts) {
    add_type(text, name);
    for (const auto& [value, count] : counts) add_sample(text, name, label, value, count);
}
}  // namespace

std::string Metrics::text(const decision::RuleGuard::Violations& violations) const {
    std::string text;
    add_counter(text, "api_gateway_requests_total", requests_);
    add_counter(text, "api_gateway_requests_invalid_total", invalid_requests_);
    add_type(text, "api_gateway_answers_total");
    for (const auto& [status, count] : answers_)
        add_sample(text, "api_gateway_answers_total", "status", std::to_string(status), count);
    add_family(text, "api_gateway_rejections_total", "reason", rejections_);
    add_family(text, "api_gateway_failures_total", "reason", failures_);
    add_family(text, "api_gateway_attempts_begun_total", "reason", attempts_begun_);
    add_family(text, "api_gateway_attempts_ended_total", "outcome", attempts_ended_);
    add_family(text, "api_gateway_responses_streamed_total", "reason", responses_streamed_);
    add_family(text, "api_gateway_responses_incomplete_total", "outcome", responses_incomplete_);
    add_family(text, "api_gateway_client_connections_closed_total", "reason", client_closes_);
    add_family(text, "api_gateway_host_connections_closed_total", "reason", host_closes_);
    add_type(text, "api_gateway_sends_blocked_total");
    for (std::size_t verdict = 1; verdict < decision::send_verdict_count; ++verdict)
        add_sample(text, "api_gateway_sends_blocked_total", "verdict",
                   decision::to_string(static_cast<decision::SendVerdict>(verdict)),
                   violations.sends[verdict]);
    add_counter(text, "api_gateway_rejections_blocked_total", violations.rejections);
    add_counter(text, "api_gateway_late_answers_total", violations.late_answers);
    add_counter(text, "api_gateway_closed_unanswered_total", violations.unanswered);
    add_counter(text, "api_gateway_rule_violations_total", violations.total());
    return text;
}

}  // namespace gateway::server

#include "final_checks.h"

#include <csignal>
#include <cstdint>
#include <fstream>
#include <optional>

#include "text.h"

namespace fault_soak {
namespace {

constexpr const char* metrics_request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
// With this slack or more, late responses are attributed to a busy machine and are not counted as faults.
constexpr Duration late_response_slack = 500ms;
constexpr Duration shutdown_margin = 1s;
// Returned in place of a count that the metrics do not contain.
constexpr std::int64_t unknown_count = -1;

// Returns the value of the metric, or std::nullopt if the metrics do not contain it.
std::optional<std::int64_t> metric(const std::string& metrics, const std::string& name) {
    const std::size_t at = metrics.find("\n" + name + " ");
    if (at == std::string::npos) return std::nullopt;
    return std::stoll(metrics.substr(at + name.size() + 2));
}

// Returns the number of rule violations that the gateway's own checks have counted, or unknown_count.
std::int64_t reported_faults(const std::string& metrics, Duration slack) {
    const auto violations = metric(metrics, "api_gateway_rule_violations_total");
    const auto late_responses = metric(metrics, "api_gateway_late_answers_total");
    if (!violations || !late_responses) return unknown_count;
    return slack >= late_response_slack ? *violations - *late_responses : *violations;
}

bool is_reported_fault(const std::string& log_line) {
    const bool is_error = log_line.find("level=error") != std::string::npos;
    return is_error && log_line.find("event=configuration_kept") == std::string::npos;
}

Task check_metrics(Testbed& testbed, const GatewayUnderTest& gateway) {
    const HttpResult metrics = co_await testbed.send_request(gateway.admin, metrics_request);
    if (reported_faults(metrics.body, testbed.options.slack) != 0)
        testbed.oracle.report(Invariant::no_reported_fault, "",
                              concat("metrics of a gateway (status ", metrics.code, "): ", metrics.body),
                              Clock::now());
}

}  // namespace

Task shut_down_gateways(Testbed& testbed) {
    for (GatewayUnderTest& gateway : testbed.gateways) {
        if (gateway.process->exited()) continue;
        co_await check_metrics(testbed, gateway);
        gateway.process->signal(SIGTERM);
    }
    const Time shutdown_deadline = Clock::now() + OracleSettings{}.longest_deadline +
                                   kill_after_longest_deadline + shutdown_margin + testbed.options.slack;
    for (int number = 0; number < testbed.options.plan.gateways; ++number) {
        GatewayProcess& process = *testbed.gateway(number).process;
        while (!process.exited() && Clock::now() < shutdown_deadline)
            co_await sleep_for(testbed.io, process_poll_interval);
        if (!process.exited() || process.wait_status() != 0)
            testbed.oracle.report(Invariant::no_crash, "",
                                  concat("gateway ", number, " did not shut down gracefully"), Clock::now());
    }
}

void check_logs(Testbed& testbed) {
    for (const GatewayUnderTest& gateway : testbed.gateways)
        for (const auto& log : gateway.logs) {
            std::ifstream file(log);
            for (std::string line; std::getline(file, line);)
                if (is_reported_fault(line))
                    testbed.oracle.report(Invariant::no_reported_fault, "", log.string() + ": " + line,
                                          Clock::now());
        }
}

std::string log_lines_of(const Testbed& testbed, const std::string& trace) {
    std::string lines;
    for (const GatewayUnderTest& gateway : testbed.gateways)
        for (const auto& log : gateway.logs) {
            std::ifstream file(log);
            const std::string gateway_name = log.parent_path().filename().string();
            for (std::string line; std::getline(file, line);)
                if (line.find("trace=" + trace) != std::string::npos)
                    lines.append("    ").append(gateway_name).append(": ").append(line).append("\n");
        }
    return lines;
}

}  // namespace fault_soak

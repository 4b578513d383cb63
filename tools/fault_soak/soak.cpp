#include "soak.h"

#include <algorithm>
#include <csignal>

#include "final_checks.h"

namespace fault_soak {
namespace {

constexpr Duration lateness_poll_interval = 20ms;
// Time after the end of the load within which all responses are due.
constexpr Duration responses_due = 4000ms;

std::vector<Fault> make_plan(const SoakOptions& options) {
    std::vector<Fault> plan = draw_plan(options.plan);
    if (options.only_kind == nullptr) return plan;
    for (Fault& fault : plan) fault.kind = options.only_kind;
    return plan;
}

}  // namespace

Soak::Soak(const SoakOptions& options) : testbed_(options), injector_(testbed_), plan_(make_plan(options)) {}

void Soak::run() {
    asio::signal_set signals(testbed_.io, SIGTERM, SIGINT);
    signals.async_wait([this](error_code cancelled, int) {
        if (cancelled) return;
        interrupted_ = true;
        testbed_.io.stop();
    });
    asio::co_spawn(testbed_.io, run_plan(), asio::detached);
    testbed_.io.run();
    if (interrupted_) return;
    testbed_.oracle.finish();
    check_logs(testbed_);
}

Task Soak::run_plan() {
    co_await start_gateways();
    load_start_ = Clock::now();
    start_load();
    co_await sleep_for(testbed_.io, testbed_.options.plan.length);
    testbed_.client_behaviour.stopped = true;
    co_await sleep_for(testbed_.io, responses_due + testbed_.options.slack);
    testbed_.stopping = true;
    co_await shut_down_gateways(testbed_);
    testbed_.io.stop();
}

Task Soak::start_gateways() {
    const int count = testbed_.options.plan.gateways;
    for (int number = 0; number < count; ++number)
        testbed_.start_process(number, testbed_.gateway(number).admin);
    for (int number = 0; number < count; ++number) co_await testbed_.await_ready(number);
}

void Soak::start_load() {
    for (const auto& client : testbed_.clients) asio::co_spawn(testbed_.io, client->run(), asio::detached);
    asio::co_spawn(testbed_.io, watch_lateness(), asio::detached);
    asio::co_spawn(testbed_.io, watch_processes(), asio::detached);
    for (const Fault& fault : plan_) asio::co_spawn(testbed_.io, injector_.run_fault(fault), asio::detached);
}

Task Soak::watch_lateness() {
    while (!testbed_.stopping) {
        const Time due = Clock::now() + lateness_poll_interval;
        co_await sleep_for(testbed_.io, lateness_poll_interval);
        worst_lateness_ = std::max(worst_lateness_, std::chrono::duration_cast<Duration>(Clock::now() - due));
    }
}

Task Soak::watch_processes() {
    while (!testbed_.stopping) {
        co_await sleep_for(testbed_.io, process_poll_interval);
        for (int number = 0; number < testbed_.options.plan.gateways; ++number) {
            GatewayUnderTest& gateway = testbed_.gateway(number);
            if (gateway.changing || !gateway.process->exited()) continue;
            // The flag stays set, so that the exit is reported only once.
            gateway.changing = true;
            testbed_.set_in_rotation(number, false);
            testbed_.oracle.gateway_exited(number, Clock::now(), false);
        }
    }
}

std::string Soak::plan_text() const {
    std::string text;
    for (const Fault& fault : plan_) text.append(describe(fault)).append("\n");
    return text;
}

std::string Soak::trace_text(const Violation& violation) const {
    if (violation.trace.empty()) return {};
    return testbed_.oracle.trace_text(violation.trace, load_start_) + log_lines_of(testbed_, violation.trace);
}

}  // namespace fault_soak

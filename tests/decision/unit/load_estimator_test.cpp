#include "load_estimator.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

constexpr double objective_s = 1;

// In a fleet of one gateway, that gateway's attempts are all the requests at a host.
struct LoadModules {
    explicit LoadModules(const Settings& settings = fleet_settings(1)) : event(settings) {
        host.entry.host = "host";
    }

    void end_attempt(Outcome outcome, Micros elapsed) {
        AttemptEnded ended;
        ended.outcome = outcome;
        ended.elapsed = elapsed;
        load.record_outcome(host, ended, objective_s);
    }
    void end_attempts(int count, Outcome outcome, Micros elapsed) {
        for (int attempt = 0; attempt < count; ++attempt) end_attempt(outcome, elapsed);
    }

    EventContext event;
    SlowStart slow_start{event.context};
    HostRegistry hosts{event.context, slow_start};
    LoadEstimator load{event.context, hosts};
    Host host;
};

TEST(LoadEstimator, HostsAreOverloadedFromAQuarterOfSlowResponsesUntilAFifth) {
    LoadModules modules;
    modules.end_attempts(7, Outcome::success, 501ms);
    EXPECT_FALSE(modules.load.overloaded());
    EXPECT_FALSE(modules.load.has_spare_capacity());
    modules.end_attempt(Outcome::success, 501ms);
    EXPECT_TRUE(modules.load.overloaded());

    modules.end_attempts(8, Outcome::success, 500ms);
    EXPECT_TRUE(modules.load.overloaded());
    modules.end_attempt(Outcome::success, 500ms);
    EXPECT_FALSE(modules.load.overloaded());
}

TEST(LoadEstimator, RejectionsAndTimeoutsWhileResponsesAreFastDoNotCountAsLoad) {
    LoadModules modules;
    modules.end_attempt(Outcome::success, 10ms);
    const double limit = modules.host.load.limit;

    modules.end_attempts(100, Outcome::rejected, 1ms);
    modules.end_attempts(100, Outcome::timeout, 2s);

    EXPECT_FALSE(modules.load.overloaded());
    EXPECT_TRUE(modules.load.has_spare_capacity());
    EXPECT_DOUBLE_EQ(modules.host.load.limit, limit);
}

TEST(LoadEstimator, EachSlowResponseReducesTheLimitOfItsHostDownToTwo) {
    LoadModules modules;
    modules.end_attempt(Outcome::success, 250ms);
    EXPECT_GE(modules.host.load.limit, LoadState::initial_limit) << "a quarter of the objective is not slow";

    const double before = modules.host.load.limit;
    modules.end_attempt(Outcome::success, 251ms);
    EXPECT_DOUBLE_EQ(modules.host.load.limit, 0.9 * before);
    modules.end_attempts(100, Outcome::success, 251ms);
    EXPECT_DOUBLE_EQ(modules.host.load.limit, 2);
}

TEST(LoadEstimator, ALoadReportLosesWeightUntilTheEndOfItsLifetime) {
    LoadModules modules;
    LoadReport report;
    report.outstanding = 8;
    modules.load.record_report(modules.host, report);
    EXPECT_DOUBLE_EQ(modules.load.outstanding(modules.host), 8);

    modules.load.record_sent(modules.host, 1);
    EXPECT_DOUBLE_EQ(modules.load.outstanding(modules.host), 9);
    modules.event.advance(125ms);
    EXPECT_DOUBLE_EQ(modules.load.outstanding(modules.host), (9 + 1) / 2.0);
    EXPECT_TRUE(modules.load.has_fresh_report(modules.host));
    modules.event.advance(125ms);
    EXPECT_DOUBLE_EQ(modules.load.outstanding(modules.host), 1) << "only this gateway's attempt is left";
    EXPECT_FALSE(modules.load.has_fresh_report(modules.host));

    modules.load.record_ended(modules.host, 375ms);
    modules.load.record_ended(modules.host, 375ms);
    EXPECT_EQ(modules.host.load.in_flight, 0) << "the end of an unknown attempt does not lower the count";
}

TEST(LoadEstimator, AMissingLoadReportIsIgnoredIfHostsReportOnHealthChecks) {
    Settings settings = fleet_settings(1);
    settings.reports = LoadReports::on_probe;
    LoadModules with_reports(settings);
    with_reports.load.record_report(with_reports.host, LoadReport{});
    EXPECT_FALSE(with_reports.load.has_fresh_report(with_reports.host));

    LoadModules without_reports;
    without_reports.load.record_report(without_reports.host, LoadReport{});
    EXPECT_TRUE(without_reports.load.has_fresh_report(without_reports.host));
    EXPECT_TRUE(without_reports.host.load.idle)
        << "the first host that answers its health check gets the request";
}

TEST(LoadEstimator, AHostIsKnownFromTenOutcomesIfHealthChecksAreAllowed) {
    LoadModules without_checks;
    EXPECT_TRUE(without_checks.load.is_known(without_checks.host));

    Settings settings = fleet_settings(1);
    settings.may_check_health = true;
    LoadModules with_checks(settings);
    with_checks.end_attempts(9, Outcome::success, 1ms);
    EXPECT_FALSE(with_checks.load.is_known(with_checks.host));
    with_checks.end_attempt(Outcome::success, 1ms);
    EXPECT_TRUE(with_checks.load.is_known(with_checks.host));
}

}  // namespace
}  // namespace gateway::decision

#include "host_selector.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// In a fleet of one gateway, a host's initial limit is 2 attempts in flight.
class HostSelectorTest : public testing::Test {
  protected:
    static Settings slow_start_settings() {
        Settings settings = fleet_settings(1);
        settings.zone = "near";
        settings.cross_zone_cost = 0.1;
        settings.max_attempts = 2;
        settings.slow_start_time = 10s;
        settings.slow_start_capacity = 0.2;
        return settings;
    }
    Host& add_host(const std::string& name, const std::string& zone = "near", Micros started = 0us) {
        HostsChanged change;
        HostEntry& entry = change.entries.emplace_back();
        entry.host = name;
        entry.zone = zone;
        entry.started = started;
        hosts.update(change);
        hosts.refresh_order();
        return *hosts.find(name);
    }

    EventContext event{slow_start_settings()};
    RequestRules rules{event.context.settings()};
    SlowStart slow_start{event.context};
    HostRegistry hosts{event.context, slow_start};
    LoadEstimator load{event.context, hosts};
    OutlierDetector outliers{event.context, load};
    HostSelector selector{event.context, rules, hosts, slow_start, load, outliers};
    Request request;
};

TEST_F(HostSelectorTest, TheTwoCheapestHostsAreSelectedTheCheapestFirst) {
    EXPECT_TRUE(selector.select(request).empty());
    Host& idle = add_host("idle");
    EXPECT_EQ(selector.select(request), std::vector<Host*>{&idle});

    Host& busy = add_host("busy");
    busy.load.in_flight = 1;
    Host& far = add_host("far", "distant");
    far.load.in_flight = 1;
    EXPECT_EQ(selector.select(request), (std::vector<Host*>{&idle, &busy}))
        << "a host in another zone costs more";
}

TEST_F(HostSelectorTest, AnUnavailableHostIsNotSelected) {
    add_host("draining").entry.state = HostState::draining;
    add_host("banned").banned = true;
    add_host("ejected").outlier.ejected_until = start_time + 1us;
    add_host("full").load.in_flight = 2;
    EXPECT_TRUE(selector.select(request).empty());

    Host& available = add_host("available");
    EXPECT_EQ(selector.select(request), std::vector<Host*>{&available});
}

TEST_F(HostSelectorTest, ARetryPrefersAHostOtherThanTheLast) {
    Host& last = add_host("last");
    request.last_host = "last";
    EXPECT_EQ(selector.select(request), std::vector<Host*>{&last});

    Host& other = add_host("other");
    EXPECT_EQ(selector.select(request), (std::vector<Host*>{&other, &last}));
}

TEST_F(HostSelectorTest, AHostIsNotSelectedIfTheRulesForbidTheAttempt) {
    Host& host = add_host("host");
    EXPECT_TRUE(selector.rules_allow(host, request));

    request.history.begin_attempt(0, {}, start_time);
    EXPECT_FALSE(selector.rules_allow(host, request)) << "a hedged request is not allowed";
    EXPECT_TRUE(selector.select(request).empty());
    request.history.end_attempt(0, Outcome::error);
    EXPECT_TRUE(selector.rules_allow(host, request));
    request.history.begin_attempt(1, {}, start_time);
    request.history.end_attempt(1, Outcome::error);
    EXPECT_FALSE(selector.rules_allow(host, request)) << "both allowed attempts are used up";
}

TEST_F(HostSelectorTest, AWarmingHostIsNotSelectedBeforeItsShareIsDue) {
    Host& warming = add_host("warming", "near", start_time);
    EXPECT_EQ(selector.select(request), std::vector<Host*>{&warming}) << "there is no warm host";

    Host& warm = add_host("warm");
    warm.load.in_flight = 1;
    EXPECT_EQ(selector.select(request), std::vector<Host*>{&warm});
}

TEST_F(HostSelectorTest, TheBestCandidateHasCapacityByItsLoadReportOrItsLimit) {
    Host& full = add_host("full");
    full.load.in_flight = 2;
    Host& busy = add_host("busy");
    busy.load.in_flight = 1;
    request.candidates = {&full};
    EXPECT_EQ(selector.best_candidate(request), nullptr);
    request.candidates = {&full, &busy};
    EXPECT_EQ(selector.best_candidate(request), &busy);

    LoadReport nothing_queued;
    nothing_queued.queued = 0;
    load.record_report(full, nothing_queued);
    EXPECT_TRUE(selector.has_capacity(full)) << "an empty queue in a fresh report overrides the limit";
    event.advance(250ms);
    EXPECT_FALSE(selector.has_capacity(full)) << "the report is no longer fresh";
}

}  // namespace
}  // namespace gateway::decision

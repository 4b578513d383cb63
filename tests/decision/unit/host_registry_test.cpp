#include "host_registry.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

class HostRegistryTest : public testing::Test {
  protected:
    static Settings slow_start_settings() {
        Settings settings = fleet_settings(1);
        settings.slow_start_time = 10s;
        return settings;
    }
    static HostEntry entry_of(const std::string& name, Micros started = 0us) {
        HostEntry entry;
        entry.host = name;
        entry.started = started;
        return entry;
    }
    void update(std::vector<HostEntry> entries, bool complete_list = true) {
        HostsChanged change;
        change.complete_list = complete_list;
        change.entries = std::move(entries);
        hosts.update(change);
        hosts.refresh_order();
    }

    EventContext event{slow_start_settings()};
    SlowStart slow_start{event.context};
    HostRegistry hosts{event.context, slow_start};
};

TEST_F(HostRegistryTest, AGoneHostStaysRegisteredUntilItsLastAttemptEnds) {
    update({entry_of("kept"), entry_of("leaving")});
    hosts.find("leaving")->load.in_flight = 1;

    update({entry_of("kept")});
    EXPECT_TRUE(hosts.any_gone());
    hosts.remove_departed();
    ASSERT_NE(hosts.find("leaving"), nullptr);
    EXPECT_FALSE(hosts.find("leaving")->usable());

    hosts.find("leaving")->load.in_flight = 0;
    hosts.remove_departed();
    EXPECT_EQ(hosts.find("leaving"), nullptr);
    EXPECT_FALSE(hosts.any_gone());
    EXPECT_EQ(hosts.size(), 1u);
}

TEST_F(HostRegistryTest, ABanOutlastsEndpointListsUntilTheUnban) {
    EXPECT_TRUE(hosts.set_banned("host", true)) << "a host that is not listed yet can be banned";
    EXPECT_FALSE(hosts.set_banned("host", true));
    update({entry_of("host")});
    EXPECT_FALSE(hosts.find("host")->usable());

    update({entry_of("host")});
    EXPECT_FALSE(hosts.find("host")->usable());
    EXPECT_TRUE(hosts.set_banned("host", false));
    EXPECT_FALSE(hosts.set_banned("host", false));
    EXPECT_TRUE(hosts.find("host")->usable());
}

TEST_F(HostRegistryTest, AnUnbannedHostCountsAsStartedNow) {
    update({entry_of("host", 1s)});
    hosts.set_banned("host", true);
    event.advance(5s);

    hosts.set_banned("host", false);
    EXPECT_EQ(hosts.find("host")->entry.started, start_time + 5s);

    update({entry_of("host", 1s)});
    EXPECT_EQ(hosts.find("host")->entry.started, start_time + 5s)
        << "the list has not reported a restart yet";
}

TEST_F(HostRegistryTest, ARestartedHostKeepsOnlyItsAttemptsInFlight) {
    update({entry_of("host", 1s)});
    Host& host = *hosts.find("host");
    host.load.in_flight = 2;
    host.outlier.failures = 2;

    update({entry_of("host", 1s)});
    EXPECT_EQ(host.outlier.failures, 2) << "an unchanged start is no restart";
    update({entry_of("host", 99s)});
    EXPECT_EQ(host.outlier.failures, 0);
    EXPECT_EQ(host.load.in_flight, 2);
}

TEST_F(HostRegistryTest, AnImplausibleStartCountsAsNow) {
    update({entry_of("possible", 1s), entry_of("too early", 1s), entry_of("future", start_time + 1h)});
    EXPECT_EQ(hosts.find("future")->entry.started, start_time);
    update({}, false);  // the latest list before the restarts, received at 100 s
    event.advance(100s);

    // A start is reported 30 s late at most.
    update({entry_of("possible", 70s), entry_of("too early", 70s - 1us)}, false);

    EXPECT_EQ(hosts.find("possible")->entry.started, 70s);
    EXPECT_EQ(hosts.find("too early")->entry.started, start_time + 100s);
}

}  // namespace
}  // namespace gateway::decision

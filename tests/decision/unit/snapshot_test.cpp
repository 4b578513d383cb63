#include "snapshot.h"

#include <gtest/gtest.h>

#include "event_context.h"

namespace gateway::decision {
namespace {
using namespace std::chrono_literals;

// A gateway process that handles its first event and has one listed host.
struct Process {
    explicit Process(Micros now = start_time) : modules(fleet_settings(1), random_seed, now) {
        modules.context.begin_event(now, actions);
        HostsChanged change;
        change.entries.emplace_back().host = "host";
        modules.hosts.update(change);
        modules.hosts.refresh_order();
    }

    Host& host() { return *modules.hosts.find("host"); }
    Customer& customer() {
        RequestArrived request;
        request.customer = "acme";
        request.plan = -1;
        return modules.customers.find_or_create(request);
    }
    Customer* known_customer() { return modules.customers.find(name_hash("acme")); }

    Actions actions;
    Modules modules;
};

TEST(Snapshot, TheNextProcessRestoresBansHostsAndCustomers) {
    Process former;
    former.modules.hosts.set_banned("other", true);
    former.host().outlier.failures = 2;
    former.host().load.in_flight = 1;
    former.customer().quota.tokens = 7;

    Process next;
    restore_snapshot(next.modules, save_snapshot(former.modules));

    EXPECT_FALSE(next.modules.hosts.set_banned("other", true)) << "the host is already banned";
    EXPECT_EQ(next.host().outlier.failures, 2);
    EXPECT_EQ(next.host().load.in_flight, 0) << "only attempts of the next process count";
    ASSERT_NE(next.known_customer(), nullptr);
    EXPECT_DOUBLE_EQ(next.known_customer()->quota.tokens, 7);
}

TEST(Snapshot, TimesAreShiftedToTheClockOfTheNextProcess) {
    Process former;
    former.host().outlier.ejected_until = start_time + 3s;

    Process next(start_time + 1h);
    restore_snapshot(next.modules, save_snapshot(former.modules));

    EXPECT_EQ(next.host().outlier.ejected_until, start_time + 1h + 3s);
    EXPECT_EQ(next.modules.context.started_at(), start_time + 1h);
}

TEST(Snapshot, RequestsAdmittedByTheFormerProcessCountAsInFlight) {
    Process former;
    former.customer().permits.in_flight = 2;
    former.customer().permits.admitted = 3;
    former.customer().quota.ceiling_tokens = 10;
    former.customer().quota.ceiling_reserved = 4;

    Process next;
    restore_snapshot(next.modules, save_snapshot(former.modules));

    EXPECT_EQ(next.customer().permits.in_flight, 5);
    EXPECT_EQ(next.customer().permits.admitted, 0);
    EXPECT_DOUBLE_EQ(next.customer().quota.ceiling_tokens, 6);
    EXPECT_DOUBLE_EQ(next.customer().quota.ceiling_reserved, 0);
}

TEST(Snapshot, ASnapshotOfAnotherVersionIsIgnored) {
    Process former;
    former.host().outlier.failures = 2;
    std::string bytes = save_snapshot(former.modules);
    bytes[0] = static_cast<char>(bytes[0] + 1);

    Process next;
    restore_snapshot(next.modules, bytes);

    EXPECT_EQ(next.host().outlier.failures, 0);
}

void expect_restorable(const std::string& bytes) {
    Process next;
    EXPECT_NO_THROW(restore_snapshot(next.modules, bytes)) << bytes.size();
}

TEST(Snapshot, ATruncatedSnapshotIsRestoredUpToItsEnd) {
    Process former;
    former.modules.hosts.set_banned("host", true);
    former.customer();
    const std::string bytes = save_snapshot(former.modules);
    for (std::size_t size = 0; size < bytes.size(); ++size) expect_restorable(bytes.substr(0, size));

    Process next;
    restore_snapshot(next.modules, bytes.substr(0, bytes.size() - 1));
    EXPECT_FALSE(next.host().usable());
    EXPECT_NE(next.known_customer(), nullptr) << "only the last value of the customer is missing";
}

}  // namespace
}  // namespace gateway::decision

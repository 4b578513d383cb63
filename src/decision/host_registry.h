// The hosts of the endpoint list, and the bans by operators.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "context.h"
#include "host.h"
#include "host_index.h"
#include "slow_start.h"

namespace gateway::decision {

// Owns the hosts. References stay valid until `remove_departed` removes the host.
class HostRegistry {
  public:
    HostRegistry(Context& context, SlowStart& slow_start) : context_(context), slow_start_(slow_start) {}

    // Applies a change of the endpoint list. Hosts that are gone stay registered until their last attempt
    // ends. `refresh_order` or `remove_departed` must follow.
    void update(const HostsChanged& change);
    // Bans or unbans a host, listed or not; returns false if that changes nothing. An unbanned host counts as
    // started now, because operators restart hosts while they are banned, and the endpoint list reports that
    // late or never. The cost is a slow start for a host that was not restarted.
    bool set_banned(const std::string& name, bool banned);
    // Whether a host is gone and has no attempts in flight.
    [[nodiscard]] static bool has_departed(const Host& host);
    [[nodiscard]] bool any_gone() const noexcept { return !gone_.empty(); }
    // Removes hosts that have departed and refreshes the order. Callers must drop all pointers to such hosts
    // before the call.
    void remove_departed();
    // Deletes the saved starts of hosts that left the endpoint list long ago.
    void expire_departed();
    // Rebuilds the front of the order and refreshes the slow start. Must be called after hosts have changed.
    void refresh_order();

    // Returns null if the host is not registered.
    [[nodiscard]] Host* find(const std::string& name);
    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }
    // The order in which hosts are considered. HostSelector shuffles its front.
    [[nodiscard]] HostOrder<Host>& order() noexcept { return order_; }

    // Write the snapshot's values to the codec or read them from it.
    void serialize_bans(auto& codec) { codec(banned_, unbanned_at_); }
    void serialize_hosts(auto& codec) { codec(hosts_); }
    // Takes over the state that the former process saved for hosts that are registered here.
    void restore(std::map<std::string, Host>&& saved_hosts);
    // Sets each host's ban from the restored bans.
    void apply_bans();

  private:
    // A host that has left the endpoint list recently.
    struct DepartedHost {
        Micros reported_start;
        Micros left_at;
    };

    void apply_entry(const HostEntry& entry);
    [[nodiscard]] Micros effective_start(const Host& host, const HostEntry& entry, bool created) const;
    void reset(Host& host, const std::string& name);
    // Number of hosts that are considered before all others, in random order.
    static constexpr std::size_t preferred_hosts = 32;

    Context& context_;
    SlowStart& slow_start_;
    std::map<std::string, Host> hosts_;
    HostOrder<Host> order_{preferred_hosts};
    std::set<std::string> banned_;
    // Times of the unbans within the last slow start time, by host.
    std::map<std::string, Micros> unbanned_at_;
    // Registered hosts that are gone from the endpoint list and are not removed yet.
    std::set<std::string> gone_;
    std::map<std::string, DepartedHost> departed_;
    // Time of the latest change of the endpoint list, apart from the list that was cached at the start.
    Micros last_list_at_{0};
    bool has_list_ = false;
};

}  // namespace gateway::decision

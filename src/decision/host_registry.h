// The hosts that the endpoint list names, with bans by operators.
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

// Owns the hosts. References stay valid until `remove_departed` drops the host.
class HostRegistry {
  public:
    HostRegistry(Context& context, SlowStart& slow_start) : context_(context), slow_start_(slow_start) {}

    // A change of the endpoint list. Hosts that are gone stay until their last attempt ends.
    void update(const HostsChanged& change);
    // Operators take a host out or put it back; false where that changes nothing. One put back counts as
    // started now, because operators restart it meanwhile, and the list reports that late or never; costs a
    // slow start for one that was not restarted.
    bool set_banned(const std::string& name, bool banned);
    // Whether a host is gone and has no attempts in flight.
    [[nodiscard]] static bool has_departed(const Host& host);
    [[nodiscard]] bool any_gone() const noexcept { return !gone_.empty(); }
    // Drops hosts that have departed. Nothing may point to them any more.
    void remove_departed();
    // Forgets the starts of hosts that have left long ago.
    void expire_departed();
    // Begins the order of hosts anew, after changes.
    void refresh_order();

    // Null where the list does not name the host.
    [[nodiscard]] Host* find(const std::string& name);
    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }
    // The order in which hosts are considered: its front is rearranged at random.
    [[nodiscard]] HostOrder<Host>& order() noexcept { return order_; }

    // The snapshot's parts, in the codec's direction.
    void serialize_bans(auto& codec) { codec(banned_, put_back_); }
    void serialize_hosts(auto& codec) { codec(hosts_); }
    // What a former process knew of hosts that the list names here; then the bans in force.
    void restore(std::map<std::string, Host>&& former);
    void apply_bans();

  private:
    // A host that has left the list lately.
    struct DepartedHost {
        Micros reported_start;
        Micros left_at;
    };

    void list(const HostEntry& entry);
    [[nodiscard]] Micros believable_start(const Host& host, const HostEntry& entry, bool created) const;
    void reset(Host& host, const std::string& name);
    static constexpr std::size_t preferred_hosts = 32;  // considered first, in random order

    Context& context_;
    SlowStart& slow_start_;
    std::map<std::string, Host> hosts_;  // by name
    HostOrder<Host> order_{preferred_hosts};
    std::set<std::string> banned_;
    std::map<std::string, Micros> put_back_;  // within the last slow start, and when
    std::set<std::string> gone_;              // gone by the list, but still with attempts in flight
    std::map<std::string, DepartedHost> departed_;
    Micros last_list_at_{0};  // the latest change, but for the list cached at the start
    bool has_list_ = false;
};

}  // namespace gateway::decision

// What the gateway knows of its hosts: the endpoint list, operators' bans and health checks.
#pragma once

#include <string>
#include <unordered_set>

#include "endpoint_list.h"
#include "event_dispatcher.h"
#include "gateway/rule_guard.h"
#include "host_pool.h"
#include "known_names.h"

namespace gateway::server {

// Applies changes of the hosts to the rule guard, the decision module and the host pool, in that order: the
// module sees a change before the attempts that the change ends.
class HostManager {
  public:
    // All must outlive the manager; `pool` need not be constructed yet.
    HostManager(decision::RuleGuard& guard, EventDispatcher& dispatcher, HostPool& pool);

    void on_endpoint_list(const EndpointList& list);
    void on_health_check_ended(const std::string& uid, HostResult&& result);
    // Operators take a host out of service, or put it back.
    void set_banned(const std::string& uid, bool banned);
    // Lets operators call for a host that no list of this process has named yet.
    void add_known_name(const std::string& uid) { known_names_.listed(uid); }
    [[nodiscard]] const KnownNames& known_names() const noexcept { return known_names_; }
    [[nodiscard]] bool has_ready_host() const noexcept { return !ready_hosts_.empty(); }

  private:
    void track(const EndpointList& list);

    decision::RuleGuard& guard_;
    EventDispatcher& dispatcher_;
    HostPool& pool_;
    std::unordered_set<std::string> ready_hosts_;  // by uid
    KnownNames known_names_;                       // for operators' calls
};

}  // namespace gateway::server

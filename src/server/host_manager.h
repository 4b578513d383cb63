// Applies endpoint lists, operators' bans and health check results.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

#include "endpoint_list.h"
#include "event_dispatcher.h"
#include "gateway/rule_guard.h"
#include "host_pool.h"
#include "known_names.h"

namespace gateway::server {

// Applies changes of the hosts to the rule guard, the decision module and the host pool, in that order, so
// that the decision module sees a change before the results of the attempts that the change ends.
class HostManager {
  public:
    // The arguments must outlive the manager. `pool` is only stored, so it need not be constructed yet.
    HostManager(decision::RuleGuard& guard, EventDispatcher& dispatcher, HostPool& pool);

    // Applies the list of the configuration.
    void on_configured_list(const EndpointList& list) { apply(list); }
    // Applies a list, or changes, that discovery has sent.
    void on_discovery_list(const EndpointList& list);
    // Applies the list of the predecessor in an upgrade, unless discovery has answered this process.
    void on_predecessor_list(const EndpointList& list);
    // Whether a host that a list contained has been withdrawn since: it is draining or gone.
    [[nodiscard]] bool has_withdrawn_host() const noexcept { return has_withdrawn_host_; }
    // The complete list that is in use.
    [[nodiscard]] EndpointList current_list() const;
    // Passes the result of a health check, and the load report in it, to the decision module.
    void on_health_check_ended(const std::string& uid, HostResult&& result);
    // Applies an operator's ban of a host, or lifts it.
    void set_banned(const std::string& uid, bool banned);
    // Adds the uid of a host that this process has not yet received in a list, so that admin calls can name
    // it.
    void add_known_name(const std::string& uid) { known_names_.add(uid); }
    [[nodiscard]] const KnownNames& known_names() const noexcept { return known_names_; }
    [[nodiscard]] bool has_ready_host() const noexcept { return !ready_hosts_.empty(); }

  private:
    void apply(const EndpointList& list);
    void merge(const EndpointList& list);
    void track(const EndpointList& list);

    decision::RuleGuard& guard_;
    EventDispatcher& dispatcher_;
    HostPool& pool_;
    std::unordered_set<std::string> ready_hosts_;  // by uid
    std::map<std::string, Endpoint> endpoints_;    // the complete list, by uid
    std::int64_t version_ = 0;                     // of the complete list
    bool discovery_has_answered_ = false;
    bool has_withdrawn_host_ = false;
    KnownNames known_names_;  // the hosts that admin calls can name
};

}  // namespace gateway::server

// The names of hosts that admin calls may refer to.
#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "clock.h"

namespace gateway::server {

// Stores the names of the hosts that endpoint lists have contained. The name of a host that is gone is
// retained for a limited time: operators may refer to a host that has just left the list, but the names of
// all hosts that ever existed would exhaust the memory.
class KnownNames {
  public:
    // `retention`: how long a name is stored after its host is gone.
    explicit KnownNames(Steady::duration retention = std::chrono::minutes(10)) : retention_(retention) {}

    // Adds the name of a listed host.
    void add(const std::string& name) { gone_at_[name] = host_is_listed; }
    // Starts the retention time of the name of a host that is gone.
    void mark_gone(const std::string& name, Steady::time_point now) {
        const auto known = gone_at_.find(name);
        if (known == gone_at_.end() || known->second != host_is_listed) return;
        known->second = now;
        gone_in_order_.push_back({now, name});
    }
    // Applies a complete list: all hosts that it does not contain are gone.
    void mark_unlisted_gone(const std::unordered_set<std::string_view>& listed_names,
                            Steady::time_point now) {
        for (auto& [name, gone_at] : gone_at_) {
            if (gone_at != host_is_listed || listed_names.contains(name)) continue;
            gone_at = now;
            gone_in_order_.push_back({now, name});
        }
    }
    // Removes the names whose retention time is over, except those of banned hosts. The run time is
    // proportional to the number of names whose retention time is over.
    void remove_expired(Steady::time_point now, const std::unordered_set<std::string>& banned) {
        while (!gone_in_order_.empty() && now - gone_in_order_.front().gone_at >= retention_) {
            const GoneHost host = std::move(gone_in_order_.front());
            gone_in_order_.pop_front();
            const auto known = gone_at_.find(host.name);
            const bool entry_is_outdated = known == gone_at_.end() || known->second != host.gone_at;
            if (entry_is_outdated) continue;
            if (!banned.contains(host.name)) {
                gone_at_.erase(known);
                continue;
            }
            known->second = now;
            gone_in_order_.push_back({now, host.name});
        }
    }
    [[nodiscard]] bool contains(const std::string& name) const { return gone_at_.contains(name); }
    [[nodiscard]] std::size_t size() const noexcept { return gone_at_.size(); }
    // All stored names, in no particular order.
    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> host_names;
        for (const auto& [name, gone_at] : gone_at_) host_names.push_back(name);
        return host_names;
    }

  private:
    struct GoneHost {
        Steady::time_point gone_at;
        std::string name;
    };
    // The value in `gone_at_` of a host that is still listed.
    static constexpr Steady::time_point host_is_listed = Steady::time_point::max();

    Steady::duration retention_;
    std::unordered_map<std::string, Steady::time_point> gone_at_;  // by host name
    std::deque<GoneHost> gone_in_order_;                           // sorted by `gone_at`
};

}  // namespace gateway::server

// The names of hosts, for the calls that operators make by name.
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

// Remembers the names of the hosts that endpoint lists have named. One that is gone is kept for a while,
// because operators may call for a host that the list has just dropped, and is forgotten then, because the
// names of all hosts that ever existed would exhaust the memory.
class KnownNames {
  public:
    // `retention`: how long a name is kept after its host is gone.
    explicit KnownNames(Steady::duration retention = std::chrono::minutes(10)) : retention_(retention) {}

    void listed(const std::string& name) { gone_at_[name] = still_listed; }
    void gone(const std::string& name, Steady::time_point now) {
        const auto known = gone_at_.find(name);
        if (known == gone_at_.end() || known->second != still_listed) return;
        known->second = now;
        gone_in_order_.push_back({now, name});
    }
    // After a complete list: all other hosts are gone.
    void only(const std::unordered_set<std::string_view>& listed_names, Steady::time_point now) {
        for (auto& [name, gone_at] : gone_at_) {
            if (gone_at != still_listed || listed_names.contains(name)) continue;
            gone_at = now;
            gone_in_order_.push_back({now, name});
        }
    }
    // Forgets names whose retention is over, except those of banned hosts. Takes time in proportion to their
    // number only.
    void forget_old(Steady::time_point now, const std::unordered_set<std::string>& banned) {
        while (!gone_in_order_.empty() && now - gone_in_order_.front().gone_at >= retention_) {
            const GoneHost host = std::move(gone_in_order_.front());
            gone_in_order_.pop_front();
            const auto known = gone_at_.find(host.name);
            const bool listed_since = known == gone_at_.end() || known->second != host.gone_at;
            if (listed_since) continue;
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
    [[nodiscard]] std::vector<std::string> all() const {
        std::vector<std::string> names;
        for (const auto& [name, gone_at] : gone_at_) names.push_back(name);
        return names;
    }

  private:
    struct GoneHost {
        Steady::time_point gone_at;
        std::string name;
    };
    static constexpr Steady::time_point still_listed = Steady::time_point::max();

    Steady::duration retention_;
    std::unordered_map<std::string, Steady::time_point> gone_at_;  // by name
    std::deque<GoneHost> gone_in_order_;                           // the longest gone first
};

}  // namespace gateway::server

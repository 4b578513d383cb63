// The names of the hosts that lists have named, for calls that operators make by name.
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

// A host that is gone is remembered for a while, as operators may call for one that the list has just
// dropped; names of all that ever came would add up without an end.
class KnownNames {
  public:
    // `remembered_for`: after a host is gone.
    explicit KnownNames(Steady::duration remembered_for = std::chrono::minutes(10))
        : remembered_for_(remembered_for) {}

    void listed(const std::string& name) { gone_at_[name] = still_listed; }
    void gone(const std::string& name, Steady::time_point now) {
        const auto known = gone_at_.find(name);
        if (known == gone_at_.end() || known->second != still_listed) return;
        known->second = now;
        oldest_first_.emplace_back(now, name);
    }
    // A whole list has come: whom it does not name is gone.
    void only(const std::unordered_set<std::string_view>& listed_ones, Steady::time_point now) {
        for (auto& [name, gone_at] : gone_at_) {
            if (gone_at != still_listed || listed_ones.count(name) > 0) continue;
            gone_at = now;
            oldest_first_.emplace_back(now, name);
        }
    }
    // Costs what has grown old since the last call. Banned ones stay.
    void forget_old(Steady::time_point now, const std::unordered_set<std::string>& banned) {
        while (!oldest_first_.empty() && now - oldest_first_.front().first >= remembered_for_) {
            const auto [when, name] = std::move(oldest_first_.front());
            oldest_first_.pop_front();
            const auto known = gone_at_.find(name);
            const bool listed_since = known == gone_at_.end() || known->second != when;
            if (listed_since) continue;
            if (banned.count(name) == 0) gone_at_.erase(known);
            else oldest_first_.emplace_back(known->second = now, name);
        }
    }
    bool contains(const std::string& name) const { return gone_at_.count(name) > 0; }
    std::size_t size() const { return gone_at_.size(); }
    std::vector<std::string> all() const {
        std::vector<std::string> names;
        for (const auto& [name, gone_at] : gone_at_) names.push_back(name);
        return names;
    }

  private:
    static constexpr Steady::time_point still_listed = Steady::time_point::max();

    Steady::duration remembered_for_;
    std::unordered_map<std::string, Steady::time_point> gone_at_;
    std::deque<std::pair<Steady::time_point, std::string>> oldest_first_;
};

}  // namespace gateway::server

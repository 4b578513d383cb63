// Indexes over a gateway's hosts whose upkeep costs, for each changed host, a time logarithmic in their
// number. They hold no host and decide nothing.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <vector>

#include "records.h"

namespace gateway::decision {

// By the host's place, then by its name. Neither changes while the host is in an index.
struct ByPlace {
    template <class Host>
    bool operator()(const Host* a, const Host* b) const {
        return std::tie(a->place, a->entry.host) < std::tie(b->place, b->entry.host);
    }
};

// All hosts by place, and the first of them as a list of its own that may be rearranged until `restart`.
template <class Host, class Before = ByPlace>
class HostOrder {
  public:
    using Iterator = typename std::set<Host*, Before>::const_iterator;

    // `front_most`: hosts in the front, where there are so many.
    explicit HostOrder(std::size_t front_most, Before before = {})
        : front_most_(front_most), by_place_(before) {}

    // Both are followed by `restart` before the front or what is behind it is looked at.
    void insert(Host& host) { by_place_.insert(&host); }
    void erase(Host& host) { by_place_.erase(&host); }
    // The front holds the first hosts by place, in that order.
    void restart() {
        front_.clear();
        behind_front_ = by_place_.begin();
        while (front_.size() < front_most_ && behind_front_ != by_place_.end())
            front_.push_back(*behind_front_++);
    }

    std::size_t size() const { return by_place_.size(); }
    std::size_t front_size() const { return front_.size(); }
    Host& front(std::size_t at) const { return *front_[at]; }
    void swap_in_front(std::size_t a, std::size_t b) { std::swap(front_[a], front_[b]); }
    Iterator behind_front() const { return behind_front_; }

  private:
    std::size_t front_most_;
    std::set<Host*, Before> by_place_;
    std::vector<Host*> front_;
    Iterator behind_front_ = by_place_.begin();
};

// Counts the usable hosts that are warm, and sums what was sent to them. What each host needs of it stands in
// the host: `warmth`, `sent`, `usable()` and its place. A host that is still cold counts from the first
// `settle` after it has become warm.
template <class Host>
class WarmHosts {
  public:
    // `memory_s`: of what was sent, in seconds, the same as the hosts' own.
    explicit WarmHosts(double memory_s) : memory_s_(memory_s) {}

    // The host is usable or not, and warm from then on.
    void update(Host& host, Micros warm_from, Micros now) {
        remove(host, now);
        if (!host.usable()) return;
        host.warmth.from = warm_from;
        if (warm_from <= now) return count_in(host, now);
        host.warmth.awaited = true;
        awaited_.insert(&host);
    }
    // Before the host ends, or what was sent to it is forgotten.
    void remove(Host& host, Micros now) {
        if (std::exchange(host.warmth.awaited, false)) awaited_.erase(&host);
        if (!std::exchange(host.warmth.counted, false)) return;
        --count_;
        sent_.add(-host.sent.value(now, memory_s_), now, memory_s_);
    }
    void settle(Micros now) {
        while (!awaited_.empty() && (*awaited_.begin())->warmth.from <= now) {
            Host& host = **awaited_.begin();
            awaited_.erase(awaited_.begin());
            host.warmth.awaited = false;
            count_in(host, now);
        }
    }
    // The same was added to the host's own sum.
    void add_sent(const Host& host, double units, Micros now) {
        if (host.warmth.counted) sent_.add(units, now, memory_s_);
    }
    std::size_t count() const { return count_; }
    // Units, fading with the memory.
    double sent(Micros now) const { return std::max(0.0, sent_.value(now, memory_s_)); }

  private:
    struct ByTime {
        bool operator()(const Host* a, const Host* b) const {
            if (a->warmth.from != b->warmth.from) return a->warmth.from < b->warmth.from;
            return ByPlace{}(a, b);
        }
    };
    void count_in(Host& host, Micros now) {
        host.warmth.counted = true;
        ++count_;
        sent_.add(host.sent.value(now, memory_s_), now, memory_s_);
    }

    double memory_s_;
    std::size_t count_ = 0;
    DecayingCounter sent_;
    std::set<Host*, ByTime> awaited_;  // usable ones that are still cold
};

}  // namespace gateway::decision

// The order in which a gateway considers its hosts. A change of one host costs a time logarithmic in their
// number. Holds pointers to hosts that others own, and decides nothing.
#pragma once

#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <vector>

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

}  // namespace gateway::decision

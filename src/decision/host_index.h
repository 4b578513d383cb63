// The order in which a gateway considers its hosts. A change of one host costs a time logarithmic in their
// number. Holds pointers to hosts that others own, and decides nothing.
#pragma once

#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <vector>

namespace gateway::decision {

// By the host's place, then by its name. Neither may change while the host is in an order.
struct ByPlace {
    template <class Host>
    bool operator()(const Host* left, const Host* right) const {
        return std::tie(left->place, left->entry.host) < std::tie(right->place, right->entry.host);
    }
};

// All hosts by place. The first of them, the front, are a list of their own that may be rearranged until
// `restart`.
template <class Host, class Before = ByPlace>
class HostOrder {
  public:
    using Iterator = typename std::set<Host*, Before>::const_iterator;

    // `max_front`: hosts in the front, where there are so many.
    explicit HostOrder(std::size_t max_front, Before before = {})
        : max_front_(max_front), by_place_(before) {}

    // After either, `restart` comes before the front or what is behind it is read.
    void insert(Host& host) { by_place_.insert(&host); }
    void erase(Host& host) { by_place_.erase(&host); }
    // Makes the front the first hosts by place, in that order.
    void restart() {
        front_.clear();
        behind_front_ = by_place_.begin();
        while (front_.size() < max_front_ && behind_front_ != by_place_.end())
            front_.push_back(*behind_front_++);
    }

    [[nodiscard]] std::size_t size() const { return by_place_.size(); }
    [[nodiscard]] std::size_t front_size() const { return front_.size(); }
    [[nodiscard]] Host& front(std::size_t at) const { return *front_[at]; }
    void swap_in_front(std::size_t first, std::size_t second) { std::swap(front_[first], front_[second]); }
    [[nodiscard]] Iterator behind_front() const { return behind_front_; }

  private:
    std::size_t max_front_;
    std::set<Host*, Before> by_place_;
    std::vector<Host*> front_;
    Iterator behind_front_ = by_place_.begin();
};

}  // namespace gateway::decision

// The order in which a gateway considers its hosts. Inserting or erasing one host takes time logarithmic in
// the number of hosts. The order holds pointers to hosts that others own.
#pragma once

#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <vector>

namespace gateway::decision {

// Compares hosts by order key, then by name. Neither may change while the host is in a HostOrder.
struct ByOrderKey {
    template <class Host>
    bool operator()(const Host* left, const Host* right) const {
        return std::tie(left->order_key, left->entry.host) < std::tie(right->order_key, right->entry.host);
    }
};

// All hosts, sorted by `Before`. The first hosts form the front, a separate list that the caller may
// rearrange; `rebuild_front` restores its sorted order.
template <class Host, class Before = ByOrderKey>
class HostOrder {
  public:
    using Iterator = typename std::set<Host*, Before>::const_iterator;

    // `max_front_size`: number of hosts in the front; with fewer hosts, all are in the front.
    explicit HostOrder(std::size_t max_front_size, Before before = {})
        : max_front_size_(max_front_size), hosts_(before) {}

    // After `insert` or `erase`, `rebuild_front` must be called before the front or the hosts behind it are
    // read.
    void insert(Host& host) { hosts_.insert(&host); }
    void erase(Host& host) { hosts_.erase(&host); }
    // Makes the front the first hosts in sorted order.
    void rebuild_front() {
        front_.clear();
        behind_front_ = hosts_.begin();
        while (front_.size() < max_front_size_ && behind_front_ != hosts_.end())
            front_.push_back(*behind_front_++);
    }

    [[nodiscard]] std::size_t size() const { return hosts_.size(); }
    [[nodiscard]] std::size_t front_size() const { return front_.size(); }
    [[nodiscard]] Host& front(std::size_t position) const { return *front_[position]; }
    void swap_in_front(std::size_t first, std::size_t second) { std::swap(front_[first], front_[second]); }
    // The position of the first host behind the front in sorted order.
    [[nodiscard]] Iterator behind_front() const { return behind_front_; }

  private:
    std::size_t max_front_size_;
    std::set<Host*, Before> hosts_;
    std::vector<Host*> front_;
    Iterator behind_front_ = hosts_.begin();
};

}  // namespace gateway::decision

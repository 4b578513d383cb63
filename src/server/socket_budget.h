// A limit on the sockets of the process, for clients and hosts together.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

namespace gateway::server {

// A limit on open sockets. Guards against running out of descriptors: each socket needs a slot in the budget
// before it is opened, and if none is left, an idle connection is evicted to free one. Neither side can take
// all slots, so that clients cannot starve the connections to the hosts. The budget must outlive its slots.
class SocketBudget {
  public:
    enum class Side : std::size_t { client, host };

    // The right to hold one socket. The destructor returns the slot to the budget.
    class Slot {
      public:
        // Constructs an empty object that holds no slot.
        Slot() = default;
        Slot(Slot&& other) noexcept : budget_(std::exchange(other.budget_, nullptr)), side_(other.side_) {}
        Slot& operator=(Slot&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(side_, other.side_);
            return *this;
        }
        ~Slot() { release(); }
        // Returns the slot to the budget before the destructor does. Has no effect if no slot is held.
        void release() {
            if (SocketBudget* const budget = std::exchange(budget_, nullptr)) budget->free(side_);
        }

      private:
        friend class SocketBudget;
        Slot(SocketBudget& budget, Side side) : budget_(&budget), side_(side) {}

        SocketBudget* budget_ = nullptr;
        Side side_ = Side::client;
    };

    explicit SocketBudget(std::size_t sockets)
        : limit_(sockets), limit_per_side_(limit_per_side_of(sockets)) {}

    // Takes a slot. Returns an empty optional if the limit is reached and no idle connection can be evicted.
    [[nodiscard]] std::optional<Slot> acquire(Side side) {
        std::size_t& held_by_side = held_[index_of(side)];
        if (held_by_side >= limit_per_side_ && !evict_one(side)) return std::nullopt;
        if (held_[0] + held_[1] >= limit_ && !evict_one(Side::host) && !evict_one(Side::client))
            return std::nullopt;
        ++held_by_side;
        return Slot(*this, side);
    }
    // Sets the callback that closes an idle connection of `side`. The callback returns false if there is
    // none.
    void on_shortage(Side side, std::function<bool()> evict_one) {
        evict_one_[index_of(side)] = std::move(evict_one);
    }
    // Sets the callback that is called whenever a slot may have become free.
    void on_freed(std::function<void()> freed) { freed_ = std::move(freed); }
    // Returns the limit for both sides together.
    [[nodiscard]] std::size_t limit() const { return limit_; }
    // Changes the limit, because the two processes of an upgrade share the descriptors.
    void set_limit(std::size_t sockets) {
        limit_ = sockets;
        limit_per_side_ = limit_per_side_of(sockets);
        if (freed_) freed_();
    }
    // Returns the number of sockets that `side` holds.
    [[nodiscard]] std::size_t in_use(Side side) const { return held_[index_of(side)]; }

  private:
    static constexpr std::size_t index_of(Side side) { return static_cast<std::size_t>(side); }
    static constexpr std::size_t limit_per_side_of(std::size_t sockets) { return sockets * 6 / 10; }

    bool evict_one(Side side) {
        const auto& evict = evict_one_[index_of(side)];
        return evict && evict();
    }
    void free(Side side) {
        --held_[index_of(side)];
        if (freed_) freed_();
    }

    std::size_t limit_;
    std::size_t limit_per_side_;
    // Both arrays are indexed by side.
    std::array<std::size_t, 2> held_{};
    std::array<std::function<bool()>, 2> evict_one_;
    std::function<void()> freed_;
};

}  // namespace gateway::server

// A limit on the memory for clients' request bodies.
#pragma once

#include <cstddef>
#include <utility>

namespace gateway::server {

// A limit on bytes that are reserved before they are read from a socket. Guards against clients that together
// send more data than fits into the memory limit: a request whose reservation fails is rejected. The budget
// must outlive its reservations.
class ByteBudget {
  public:
    // A reservation of bytes. The destructor returns them to the budget.
    class Reservation {
      public:
        // Constructs an empty reservation.
        Reservation() = default;
        Reservation(Reservation&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
        Reservation& operator=(Reservation&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~Reservation() { release(); }
        // Returns the bytes to the budget before the destructor does. Has no effect on an empty reservation.
        void release() noexcept {
            if (ByteBudget* const budget = std::exchange(budget_, nullptr)) budget->reserved_bytes_ -= bytes_;
        }
        // Whether the reservation was granted and has not been released.
        [[nodiscard]] explicit operator bool() const noexcept { return budget_ != nullptr; }

      private:
        friend class ByteBudget;
        Reservation(ByteBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {}

        ByteBudget* budget_ = nullptr;
        std::size_t bytes_ = 0;
    };

    explicit ByteBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

    // Reserves `bytes`. Returns an empty reservation if fewer bytes than that are available.
    [[nodiscard]] Reservation reserve(std::size_t bytes) {
        if (bytes > limit_bytes_ - reserved_bytes_) return {};
        reserved_bytes_ += bytes;
        return {*this, bytes};
    }
    // The number of bytes that are reserved.
    [[nodiscard]] std::size_t in_use() const noexcept { return reserved_bytes_; }

  private:
    const std::size_t limit_bytes_;
    std::size_t reserved_bytes_ = 0;
};

}  // namespace gateway::server

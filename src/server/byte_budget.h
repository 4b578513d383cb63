// Limits how many bytes of clients' request bodies the process holds.
#pragma once

#include <cstddef>
#include <utility>

namespace gateway::server {

// A limit on bytes that are reserved before they are read. Guards against clients that together send more
// than fits into the memory limit: a request whose reservation fails is rejected. Outlives its reservations.
class ByteBudget {
  public:
    // A reservation of bytes. Gives them back at its end.
    class Reservation {
      public:
        // Reserves nothing.
        Reservation() = default;
        Reservation(Reservation&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
        Reservation& operator=(Reservation&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~Reservation() { release(); }
        // Gives the bytes back early. Does nothing where none are reserved.
        void release() noexcept {
            if (ByteBudget* const budget = std::exchange(budget_, nullptr)) budget->held_ -= bytes_;
        }
        // Whether it holds a reservation.
        [[nodiscard]] explicit operator bool() const noexcept { return budget_ != nullptr; }

      private:
        friend class ByteBudget;
        Reservation(ByteBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {}

        ByteBudget* budget_ = nullptr;
        std::size_t bytes_ = 0;
    };

    explicit ByteBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

    // Reserves the bytes. The result holds no reservation where they exceed what is left.
    [[nodiscard]] Reservation take(std::size_t bytes) {
        if (bytes > limit_bytes_ - held_) return {};
        held_ += bytes;
        return {*this, bytes};
    }
    // How many bytes are reserved.
    [[nodiscard]] std::size_t in_use() const noexcept { return held_; }

  private:
    const std::size_t limit_bytes_;
    std::size_t held_ = 0;
};

}  // namespace gateway::server

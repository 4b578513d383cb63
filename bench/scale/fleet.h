// A simulated fleet of gateways without sockets: instances of the decision module that run on a simulated
// clock and exchange their real peer messages through a model of the network.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "gateway/interface.h"
#include "sweeps.h"

namespace gateway::scale {

// Totals over all gateways of a fleet.
struct FleetCounts {
    std::uint64_t requests = 0;
    std::uint64_t attempts_sent = 0;
    std::uint64_t rejected = 0;
    std::uint64_t messages = 0;
    // Payload bytes of the peer messages, without datagram headers.
    std::uint64_t message_bytes = 0;
    // Messages that were dropped because they exceeded the intake rate limit of their receiver.
    std::uint64_t intake_drops = 0;
};

// Runs all gateways of a fleet in one thread, as a discrete-event simulation.
class Fleet {
  public:
    // Creates the gateways and delivers the complete host list to each. Requests arrive only during
    // run_for().
    Fleet(FleetSweep sweep, int gateways, std::uint64_t seed);

    // Advances the simulated clock by `seconds` and handles every event that falls due.
    void run_for(double seconds);

    FleetCounts counts;

  private:
    // A decision module with the token bucket that limits its intake of peer messages.
    struct SimulatedGateway {
        SimulatedGateway(int rank, int instances, std::uint64_t seed, decision::Micros now);
        decision::Gateway module;
        double intake_tokens = 0;
        // Simulated time at which the bucket was last refilled.
        decision::Micros intake_refilled_at{0};
    };
    // An entry of the event queue: either an event for a gateway or the arrival of a new request.
    struct QueueEntry {
        decision::Micros at;
        // Sequence number of the entry, which orders entries of equal time.
        std::uint64_t order;
        int gateway;
        bool is_arrival;
        // Null when `is_arrival` is set.
        std::shared_ptr<decision::Event> event;
        // The earliest entry compares as the greatest, because std::priority_queue returns its greatest
        // element first.
        bool operator<(const QueueEntry& other) const noexcept {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(decision::Micros delay, int gateway, decision::Event event);
    void schedule_arrival(int gateway);
    void receive_request(int gateway);
    [[nodiscard]] decision::RequestArrived draw_request(int gateway);
    void receive_event(const QueueEntry& entry);
    // Refills the gateway's intake bucket, which fills at the module's `messages_per_s` and holds one
    // second's worth, and takes one token. Returns false when the bucket is empty.
    [[nodiscard]] bool take_intake_token(SimulatedGateway& gateway) const;
    void deliver(int gateway, const decision::Event& event);
    void carry_out(int gateway, const decision::Action& action);
    void send_attempt(int gateway, const decision::SendAttempt& attempt);
    void send_message(int from, const decision::SendMessage& message);

    FleetSweep sweep_;
    std::mt19937_64 random_;
    decision::Micros now_ = std::chrono::hours(1);
    std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
    std::priority_queue<QueueEntry> queue_;
    std::uint64_t next_order_ = 0;
    decision::RequestId next_request_ = 1;
};

}  // namespace gateway::scale

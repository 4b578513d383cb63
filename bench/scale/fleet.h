// A fleet of gateways without sockets, on a simulated clock: instances of the decision module that exchange
// their real messages through a modelled network.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "gateway/interface.h"
#include "sweeps.h"

namespace gateway::scale {

// What has happened in the fleet.
struct FleetCounts {
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;  // attempts sent
    std::uint64_t rejected = 0;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;  // without datagram headers
    std::uint64_t intake_drops = 0;   // messages beyond what their receiver takes in
};

class Fleet {
  public:
    // The gateways get the complete list of hosts; requests begin with run_for().
    Fleet(FleetSweep sweep, int gateways, std::uint64_t seed);

    // Runs the fleet for so many seconds of its own clock.
    void run_for(double seconds);

    FleetCounts counts;

  private:
    // A gateway, and what it has taken in of the last second.
    struct SimulatedGateway {
        SimulatedGateway(int rank, int instances, std::uint64_t seed, decision::Micros now);
        decision::Gateway module;
        double intake_tokens = 0;
        decision::Micros intake_at{0};  // when the tokens were last filled up
    };
    // Something that happens to a gateway at a later time: an event, or the arrival of a request.
    struct Scheduled {
        decision::Micros at;
        std::uint64_t order;  // of scheduling; decides among equal times
        int gateway;
        bool is_arrival;
        std::shared_ptr<decision::Event> event;  // null for an arrival
        // As std::priority_queue needs it: the earliest is the greatest.
        bool operator<(const Scheduled& other) const noexcept {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(decision::Micros delay, int gateway, decision::Event event);
    void schedule_arrival(int gateway);
    void receive_request(int gateway);
    [[nodiscard]] decision::RequestArrived draw_request(int gateway);
    void receive_event(const Scheduled& scheduled);
    // Whether a gateway takes in one more message now: so many a second, and a second's worth at once.
    [[nodiscard]] bool takes_in_message(SimulatedGateway& gateway) const;
    void deliver(int gateway, const decision::Event& event);
    void carry_out(int gateway, const decision::Action& action);
    void send_attempt(int gateway, const decision::SendAttempt& attempt);
    void send_message(int from, const decision::SendMessage& message);

    FleetSweep sweep_;
    std::mt19937_64 random_;
    decision::Micros now_ = std::chrono::hours(1);
    std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
    std::priority_queue<Scheduled> queue_;
    std::uint64_t next_order_ = 0;
    decision::RequestId next_request_ = 1;
};

}  // namespace gateway::scale

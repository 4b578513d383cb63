// A simulated fleet of gateways. Peer messages are lost, duplicated, delayed and reordered at random.
#pragma once

#include <random>

#include "gateway_fixture.h"

namespace gateway::decision::test {

struct Fleet {
    Settings settings;
    std::mt19937_64 random;
    std::vector<ClockedGateway> gateways;
    // Peer messages by their time of delivery, with the rank of the receiver.
    std::multimap<Micros, std::pair<int, MessageArrived>> messages_in_transit;
    // Attempts in flight by the time of their answer, with the rank of the sender.
    std::multimap<Micros, std::pair<int, SendAttempt>> pending_responses;
    Micros now{1'000'000};
    Micros max_message_delay{20'000};  // maximum delay of a message
    Micros response_time{5'000};       // response time of every attempt
    // All attempts, with the rank of the sender.
    std::vector<std::pair<int, SendAttempt>> sent;
    Fleet(Settings common, int count, std::uint64_t seed) : settings(std::move(common)), random(seed) {
        settings.instances = count;
        for (int rank = 0; rank < count; ++rank) {
            settings.rank = rank;
            gateways.emplace_back(settings, hosts(), random());
        }
    }
    static std::vector<HostEntry> hosts() { return {host("a"), host("b"), host("c"), host("d")}; }
    // Executes the actions of the gateway with that rank: starts its attempts and sends its peer messages, of
    // which one in 16 is lost and one in 16 is duplicated.
    void execute(int rank, const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                sent.emplace_back(rank, *send);
                pending_responses.emplace(now + response_time, sent.back());
            }
            const auto* message = std::get_if<SendMessage>(&action);
            if (!message || random() % 16 == 0) continue;
            for (int copies = random() % 16 == 0 ? 2 : 1; copies > 0; --copies)
                messages_in_transit.emplace(
                    now + Micros(random() % static_cast<std::uint64_t>(max_message_delay.count())),
                    std::pair{message->to, MessageArrived{rank, message->bytes}});
        }
    }
    // Advances the clock in steps of up to 4 ms. Fires timers and delivers messages and answers that are due.
    void advance(Micros span) {
        for (const Micros until = now + span; now < until;) {
            now = std::min(until, now + 4ms);
            for (std::size_t rank = 0; rank < gateways.size(); ++rank) {
                ClockedGateway& gateway = gateways[rank];
                if (gateway.timers.empty() || gateway.timers.begin()->first > now) gateway.now = now;
                else execute(static_cast<int>(rank), gateway.advance(now - gateway.now));
            }
            while (!messages_in_transit.empty() && messages_in_transit.begin()->first <= now) {
                const auto [to, message] = messages_in_transit.begin()->second;
                messages_in_transit.erase(messages_in_transit.begin());
                execute(to, gateways[static_cast<std::size_t>(to)].handle(message));
            }
            while (!pending_responses.empty() && pending_responses.begin()->first <= now) {
                const auto [rank, attempt] = pending_responses.begin()->second;
                pending_responses.erase(pending_responses.begin());
                execute(rank, gateways[static_cast<std::size_t>(rank)].end_attempt(
                                  attempt.id, attempt.host, Outcome::success, response_time));
            }
        }
    }
    void request(int rank, RequestId id, double units, int set_size, Micros time_left = 500ms) {
        execute(rank,
                gateways[static_cast<std::size_t>(rank)].request(id, units, time_left, 0, 0, "c", set_size));
    }
    // Replaces the gateway with that rank by a new process, which loses its state and its attempts in flight.
    void restart(int rank) {
        ClockedGateway& gateway = gateways[static_cast<std::size_t>(rank)];
        settings.rank = rank;
        gateway.decision = Gateway(settings, random(), now);
        gateway.timers.clear();
        std::erase_if(pending_responses, [&](const auto& response) { return response.second.first == rank; });
        gateway.handle(HostsChanged{true, hosts()});
    }
};

}  // namespace gateway::decision::test

// A stand-in for discovery, written from its public protocol: one agent for each gateway, at two addresses.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "host_list.h"
#include "net.h"

namespace fault_soak {

struct AgentFaults {
    bool silent = false;       // takes calls and says nothing, for good on the connections that it had
    bool refuses = false;      // answers 503
    bool whole_lists = false;  // tells changes as whole lists
    bool slow = false;         // answers in pieces
    std::size_t silences = 0;  // that have begun
};

class DiscoveryAgent {
  public:
    // `on_told`: the list as it was at `of` has been written to the gateway.
    using OnTold = std::function<void(Time of)>;

    DiscoveryAgent(asio::io_context& io, const HostList& list, std::vector<std::string> addresses,
                   OnTold on_told);
    // The first and the second address; a reload moves the gateway from one to the other.
    std::string address(int which) const {
        return text_of(listeners_[static_cast<std::size_t>(which)].local_endpoint());
    }
    // The whole list as it is now, as a configuration's known one.
    std::string known() const { return list_.json(addresses_, -1); }
    void fall_silent();
    AgentFaults faults;

  private:
    Task accept(tcp::acceptor& listener);
    Task serve(tcp::socket socket);
    Task write(tcp::socket& socket, HttpAnswer& answer, error_code& ec);
    // Waits until there is something newer, the hold is over or the agent falls silent.
    Task wait_for_change(std::int64_t since, Clock::duration hold);

    asio::io_context& io_;
    const HostList& list_;
    std::vector<std::string> addresses_;  // of the hosts, for this gateway
    OnTold on_told_;
    std::array<tcp::acceptor, 2> listeners_;
};

}  // namespace fault_soak

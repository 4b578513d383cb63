// A stub of the discovery service, which implements the public protocol independently of the gateway's code.
// Each gateway has one agent, which listens on two addresses.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "host_list.h"
#include "net.h"

namespace fault_soak {

// The faults of an agent that are active now.
struct AgentFaults {
    // Accepts requests but sends no response. A connection that was open during a silence never gets a
    // response again.
    bool silent = false;
    // Answers every request with status 503.
    bool rejects = false;
    // Sends the complete list even if the gateway requests only the changes.
    bool complete_lists = false;
    // Sends responses in small pieces with pauses between them.
    bool slow = false;
    // Number of silences that have begun so far.
    std::size_t silence_count = 0;
};

// The discovery agent of one gateway.
class DiscoveryAgent {
  public:
    // Called after a list has been written to the gateway. `list_time` is the time at which the list was
    // current.
    using OnListSent = std::function<void(Time list_time)>;

    // `list` must outlive the agent. `addresses` are the addresses at which this gateway reaches the hosts.
    DiscoveryAgent(asio::io_context& io, const HostList& list, std::vector<std::string> addresses,
                   OnListSent on_list_sent);

    // Returns the first (0) or the second (1) address. A reload moves the gateway from one address to the
    // other.
    [[nodiscard]] std::string address(int index) const {
        return text_of(listeners_[static_cast<std::size_t>(index)].local_endpoint());
    }
    // Returns the current complete list as JSON, for the `known` key of the gateway configuration.
    [[nodiscard]] std::string known_list() const { return list_.json(addresses_, HostList::no_version); }
    // Starts a silence, which ends when AgentFaults::silent is cleared.
    void start_silence();

    AgentFaults faults;

  private:
    Task accept(tcp::acceptor& listener);
    Task serve(tcp::socket socket);
    Task write(tcp::socket& socket, HttpResponse& response, error_code& error);
    // Waits until the list has a version above `since`, the time `hold` has passed or the agent falls silent.
    Task wait_for_change(std::int64_t since, Clock::duration hold);

    asio::io_context& io_;
    const HostList& list_;
    std::vector<std::string> addresses_;
    OnListSent on_list_sent_;
    std::array<tcp::acceptor, 2> listeners_;
};

}  // namespace fault_soak

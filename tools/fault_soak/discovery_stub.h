// A stub of discovery, written from its public protocol: one agent for each gateway, at two addresses.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "host_list.h"
#include "net.h"

namespace fault_soak {

struct AgentFaults {
    bool silent = false;          // takes requests and sends no response, for good on its open connections
    bool rejects = false;         // answers 503
    bool complete_lists = false;  // sends changes as complete lists
    bool slow = false;            // sends responses in pieces
    std::size_t silences = 0;     // that have begun so far
};

class DiscoveryAgent {
  public:
    // Called when the list as it was at `list_time` has been written to the gateway.
    using OnListSent = std::function<void(Time list_time)>;

    // `list` must outlive the agent. `addresses`: of the hosts, as this gateway reaches them.
    DiscoveryAgent(asio::io_context& io, const HostList& list, std::vector<std::string> addresses,
                   OnListSent on_list_sent);

    // The first (0) or the second (1) address; a reload moves the gateway from one to the other.
    [[nodiscard]] std::string address(int which) const {
        return text_of(listeners_[static_cast<std::size_t>(which)].local_endpoint());
    }
    // The complete list as it is now, in the form of a configuration's known list.
    [[nodiscard]] std::string known_list() const { return list_.json(addresses_, HostList::no_version); }
    void fall_silent();

    AgentFaults faults;

  private:
    Task accept(tcp::acceptor& listener);
    Task serve(tcp::socket socket);
    Task write(tcp::socket& socket, HttpResponse& response, error_code& error);
    // Waits until there is a version above `since`, `hold` is over or the agent falls silent.
    Task wait_for_change(std::int64_t since, Clock::duration hold);

    asio::io_context& io_;
    const HostList& list_;
    std::vector<std::string> addresses_;
    OnListSent on_list_sent_;
    std::array<tcp::acceptor, 2> listeners_;
};

}  // namespace fault_soak

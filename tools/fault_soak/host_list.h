// The endpoint list that the discovery stub serves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"

namespace fault_soak {

enum class HostState { ready, draining, gone };

// One host of the endpoint list.
struct ListedHost {
    std::string uid;
    std::string zone;
    HostState state = HostState::ready;
    // Unix time of the host's last start in milliseconds, or 0 if it started long ago.
    std::int64_t boot_ms = 0;
};

// The endpoint list. Every change increments its version.
class HostList {
  public:
    // Passed to json() in place of a version to get the complete list.
    static constexpr std::int64_t no_version = -1;

    // Creates a list of `hosts` ready hosts, spread over two zones.
    explicit HostList(int hosts);

    // Sets the state and boot time of a host.
    void change(int host, HostState state, std::int64_t boot_ms);
    [[nodiscard]] std::int64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::vector<ListedHost>& hosts() const noexcept { return hosts_; }
    // Returns the list in the JSON format of discovery for one gateway, which reaches the hosts at
    // `addresses`. `since` is the version that the gateway has: the result contains the changes since then,
    // or the complete list for no_version.
    [[nodiscard]] std::string json(const std::vector<std::string>& addresses, std::int64_t since) const;

  private:
    std::int64_t version_ = 1;
    std::vector<ListedHost> hosts_;
    // For each change, the new version of the list and the index of the changed host.
    std::vector<std::pair<std::int64_t, std::size_t>> changes_;
};

}  // namespace fault_soak

// The hosts of the run as discovery lists them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"

namespace fault_soak {

enum class HostState { ready, draining, gone };

struct ListedHost {
    std::string uid;
    std::string zone;
    HostState state = HostState::ready;
    std::int64_t boot_ms = 0;  // Unix time of its last start, in milliseconds; 0: long ago
};

// The endpoint list, with a version that every change increments.
class HostList {
  public:
    // In place of a version: gets the complete list.
    static constexpr std::int64_t no_version = -1;

    // `hosts` ready hosts, spread over two zones.
    explicit HostList(int hosts);

    void change(int host, HostState state, std::int64_t boot_ms);
    [[nodiscard]] std::int64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::vector<ListedHost>& hosts() const noexcept { return hosts_; }
    // The list in discovery's JSON for one gateway, for which each host has an address of its own. `since`:
    // the version that the gateway has; it gets what has changed since, or the complete list for no_version.
    [[nodiscard]] std::string json(const std::vector<std::string>& addresses, std::int64_t since) const;

  private:
    std::int64_t version_ = 1;
    std::vector<ListedHost> hosts_;
    std::vector<std::pair<std::int64_t, std::size_t>> changes_;  // version and host
};

}  // namespace fault_soak

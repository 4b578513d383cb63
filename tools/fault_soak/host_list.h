// The hosts of the run as discovery lists them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "time.h"

namespace fault_soak {

enum class HostState { ready, draining, gone };

struct ListedHost {
    std::string uid, zone;
    HostState state = HostState::ready;
    std::int64_t boot_ms = 0;  // Unix time of its last start; 0: long ago
};

class HostList {
  public:
    explicit HostList(int hosts);
    void change(int host, HostState state, std::int64_t boot_ms);
    std::int64_t version() const { return version_; }
    Time changed_at() const { return changed_at_; }
    const std::vector<ListedHost>& hosts() const { return hosts_; }
    // As discovery tells it to one gateway, for which each host has an address of its own. `since`: the
    // version that it has; below 0: it gets the whole list.
    std::string json(const std::vector<std::string>& addresses, std::int64_t since) const;

  private:
    std::int64_t version_ = 1;
    Time changed_at_ = Clock::now();
    std::vector<ListedHost> hosts_;
    std::vector<std::pair<std::int64_t, std::size_t>> changes_;  // version and host
};

}  // namespace fault_soak

#include "host_list.h"

#include <set>

#include "text.h"

namespace fault_soak {
namespace {

constexpr int zones = 2;
constexpr std::size_t hosts_per_cell = 2;

const char* name_of(HostState state) {
    switch (state) {
        case HostState::ready:
            return "ready";
        case HostState::draining:
            return "draining";
        case HostState::gone:
            break;
    }
    return "gone";
}

std::string host_json(const ListedHost& host, std::size_t number, const std::string& address) {
    return concat(R"({"uid":")", host.uid, R"(","endpoint":")", address, R"(","az":")", host.zone,
                  R"(","model":"m","pod_group":)", number / hosts_per_cell, R"(,"state":")",
                  name_of(host.state), R"(","capacity_hint":1,"boot_ms":)", host.boot_ms, "}");
}

}  // namespace

HostList::HostList(int hosts) {
    for (int host = 0; host < hosts; ++host) {
        ListedHost listed;
        listed.uid = concat("h", host);
        listed.zone.assign(1, host % zones == 0 ? 'a' : 'b');
        hosts_.push_back(listed);
    }
}

void HostList::change(int host, HostState state, std::int64_t boot_ms) {
    ListedHost& listed = hosts_[static_cast<std::size_t>(host)];
    listed.state = state;
    listed.boot_ms = boot_ms;
    ++version_;
    changes_.emplace_back(version_, static_cast<std::size_t>(host));
}

std::string HostList::json(const std::vector<std::string>& addresses, std::int64_t since) const {
    const bool complete = since < 0;
    std::set<std::size_t> changed;
    for (const auto& [version, host] : changes_)
        if (version > since) changed.insert(host);
    std::string targets;
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
        const ListedHost& host = hosts_[number];
        const bool included = complete ? host.state != HostState::gone : changed.contains(number);
        if (!included) continue;
        if (!targets.empty()) targets.append(1, ',');
        targets.append(host_json(host, number, addresses[number]));
    }
    return concat(R"({"rev":)", version_, R"(,"all":)", complete ? "true" : "false", R"(,"targets":[)",
                  targets, "]}");
}

}  // namespace fault_soak

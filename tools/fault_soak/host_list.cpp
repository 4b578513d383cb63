#include "host_list.h"

#include <set>

#include "text.h"

namespace fault_soak {
namespace {
constexpr int zones = 2;

const char* name_of(HostState state) {
    return state == HostState::ready ? "ready" : state == HostState::draining ? "draining" : "gone";
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
    changes_.emplace_back(++version_, static_cast<std::size_t>(host));
    changed_at_ = Clock::now();
}

std::string HostList::json(const std::vector<std::string>& addresses, std::int64_t since) const {
    const bool whole = since < 0;
    std::set<std::size_t> told;
    for (const auto& [version, host] : changes_)
        if (version > since) told.insert(host);
    std::string rows;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const ListedHost& host = hosts_[i];
        if (whole ? host.state == HostState::gone : !told.contains(i)) continue;
        if (!rows.empty()) rows.append(1, ',');
        rows.append(R"({"uid":")").append(host.uid);
        rows.append(R"(","endpoint":")").append(addresses[i]).append(R"(","az":")").append(host.zone);
        rows.append(R"(","model":"m","pod_group":)").append(std::to_string(i / 2));
        rows.append(R"(,"state":")").append(name_of(host.state));
        rows.append(R"(","capacity_hint":1,"boot_ms":)").append(std::to_string(host.boot_ms)).append("}");
    }
    return concat(R"({"rev":)", version_, R"(,"all":)", whole ? "true" : "false", R"(,"targets":[)", rows,
                  "]}");
}

}  // namespace fault_soak

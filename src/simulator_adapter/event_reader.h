// Reads the simulator's messages as events of the decision module, one function for each kind of message.
//
// The functions throw json::BadValue where a value is missing or does not fit. Position 0 of each message is
// the gateway's number, which the caller has read.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/interface.h"
#include "host_lists.h"
#include "message.h"

namespace gateway::simulator {

// Where the names that messages use stand in a gateway's settings.
class SettingsIndex {
  public:
    explicit SettingsIndex(const decision::Settings& settings);
    // Index into Settings::classes; nothing for an unknown name.
    [[nodiscard]] std::optional<int> request_class(std::string_view name) const;
    // Index into Settings::plans; nothing for an unknown name.
    [[nodiscard]] std::optional<int> plan(std::string_view name) const;

  private:
    using IndexByName = std::unordered_map<std::string, int>;

    IndexByName classes_;
    IndexByName plans_;
};

// Sync. Nothing where discovery was unavailable.
[[nodiscard]] std::optional<decision::HostsChanged> read_hosts_changed(const Fields& fields,
                                                                       const HostLists& lists);
// NewRequest. An unknown plan is left out; an unknown request class is an error.
[[nodiscard]] decision::RequestArrived read_request_arrived(const Fields& fields, const SettingsIndex& index);
// Returned.
[[nodiscard]] decision::AttemptEnded read_attempt_ended(const Fields& fields);
// Gone.
[[nodiscard]] decision::ClientDisconnected read_client_disconnected(const Fields& fields);
// PeerData.
[[nodiscard]] decision::MessageArrived read_message_arrived(const Fields& fields);
// PingResult.
[[nodiscard]] decision::HealthCheckEnded read_health_check_ended(const Fields& fields);
// Timer. Nothing for a label that is not a token of the decision module.
[[nodiscard]] std::optional<decision::TimerFired> read_timer_fired(const Fields& fields);

}  // namespace gateway::simulator

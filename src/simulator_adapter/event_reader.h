// Converts the simulator's messages to events of the decision module, with one function for each kind of
// message.
//
// The functions throw json::BadValue if a value is missing or malformed. They skip position 0 of each
// message, the number of the gateway, which the caller reads.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/interface.h"
#include "host_lists.h"
#include "message.h"

namespace gateway::simulator {

// Maps the names of request classes and plans to their positions in a gateway's settings.
class SettingsIndex {
  public:
    explicit SettingsIndex(const decision::Settings& settings);
    // Returns the index into Settings::classes, or no value for an unknown name.
    [[nodiscard]] std::optional<int> request_class(std::string_view name) const;
    // Returns the index into Settings::plans, or no value for an unknown name.
    [[nodiscard]] std::optional<int> plan(std::string_view name) const;

  private:
    using IndexByName = std::unordered_map<std::string, int>;

    IndexByName classes_;
    IndexByName plans_;
};

// Reads a Sync message. Returns no event if it reports that discovery was unavailable.
[[nodiscard]] std::optional<decision::HostsChanged> read_hosts_changed(const Fields& fields,
                                                                       const HostLists& lists);
// Reads a NewRequest message. A request with an unknown plan has no plan; an unknown request class is an
// error.
[[nodiscard]] decision::RequestArrived read_request_arrived(const Fields& fields, const SettingsIndex& index);
// Reads a Returned message.
[[nodiscard]] decision::AttemptEnded read_attempt_ended(const Fields& fields);
// Reads a Gone message.
[[nodiscard]] decision::ClientDisconnected read_client_disconnected(const Fields& fields);
// Reads a PeerData message.
[[nodiscard]] decision::MessageArrived read_message_arrived(const Fields& fields);
// Reads a PingResult message.
[[nodiscard]] decision::HealthCheckEnded read_health_check_ended(const Fields& fields);
// Reads a Timer message. Returns no event if its label is not a timer token.
[[nodiscard]] std::optional<decision::TimerFired> read_timer_fired(const Fields& fields);

}  // namespace gateway::simulator

// The host lists of the simulator. A Directory message declares a list in a numbered slot, and Sync messages
// refer to the slot.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "gateway/interface.h"
#include "message.h"

namespace gateway::simulator {

using HostEntries = std::vector<decision::HostEntry>;

// Stores the declared host lists by slot.
class HostLists {
  public:
    // Reads a Directory message and replaces the list of its slot. Throws json::BadValue if the message is
    // malformed.
    void declare(const Fields& fields);
    // Returns the list of a slot. Throws json::BadValue if no list was declared for the slot.
    [[nodiscard]] const HostEntries& at(std::int64_t slot) const;

  private:
    static constexpr std::size_t slot_count = 16;  // defined by the protocol

    [[nodiscard]] static bool is_slot(std::int64_t slot) noexcept;

    std::array<std::optional<HostEntries>, slot_count> lists_;
};

}  // namespace gateway::simulator

// The host lists that Directory messages declare by slot number and Sync messages refer to.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "gateway/interface.h"
#include "message.h"

namespace gateway::simulator {

using HostEntries = std::vector<decision::HostEntry>;

class HostLists {
  public:
    // Takes a Directory message, which replaces the list of its slot. Throws json::BadValue.
    void declare(const Fields& fields);
    // The list of a slot. Throws json::BadValue where none was declared there.
    [[nodiscard]] const HostEntries& at(std::int64_t slot) const;

  private:
    static constexpr std::size_t slot_count = 16;  // of the protocol

    [[nodiscard]] static bool is_slot(std::int64_t slot) noexcept;

    std::array<std::optional<HostEntries>, slot_count> lists_;
};

}  // namespace gateway::simulator

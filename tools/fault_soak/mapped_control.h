// The soak's side of the control file that the shims of a gateway's processes map.
#pragma once

#include <filesystem>

#include "shim_control.h"

namespace fault_soak {

class MappedControl {
  public:
    // Writes a new file and maps it. Throws std::runtime_error where it cannot be mapped.
    explicit MappedControl(const std::filesystem::path& file);
    ~MappedControl();
    MappedControl(const MappedControl&) = delete;
    MappedControl& operator=(const MappedControl&) = delete;

    [[nodiscard]] ShimControl& operator*() const noexcept { return *control_; }
    [[nodiscard]] ShimControl* operator->() const noexcept { return control_; }

  private:
    ShimControl* control_;
};

}  // namespace fault_soak

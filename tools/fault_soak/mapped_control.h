// Maps the control file through which the soak controls the shim in the processes of a gateway.
#pragma once

#include <filesystem>

#include "shim_control.h"

namespace fault_soak {

// A writable memory mapping of a control file.
class MappedControl {
  public:
    // Creates a file without faults and maps it. Throws std::runtime_error if it cannot be mapped.
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

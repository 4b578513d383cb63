#include "mapped_control.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <fstream>
#include <new>
#include <stdexcept>
#include <string>

namespace fault_soak {

MappedControl::MappedControl(const std::filesystem::path& file) {
    std::ofstream(file).write(std::string(sizeof(ShimControl), '\0').data(), sizeof(ShimControl));
    const int descriptor = ::open(file.c_str(), O_RDWR | O_CLOEXEC);
    void* const mapped = descriptor < 0 ? MAP_FAILED
                                        : ::mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE,
                                                 MAP_SHARED, descriptor, 0);
    if (descriptor >= 0) ::close(descriptor);
    if (mapped == MAP_FAILED) throw std::runtime_error("cannot map the control file " + file.string());
    control_ = new (mapped) ShimControl;
}

MappedControl::~MappedControl() { ::munmap(control_, sizeof(ShimControl)); }

}  // namespace fault_soak

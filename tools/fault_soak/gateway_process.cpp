#include "gateway_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

#include "shim_control.h"
#include "text.h"

namespace fault_soak {
namespace {

constexpr std::uint64_t shim_seed_limit = 1'000'000;
constexpr mode_t log_mode = 0644;

std::vector<std::string> environment_of(const GatewayProcessOptions& options) {
    std::vector<std::string> variables{"BALANCER_CONFIG=" + options.config.string(),
                                       "TMPDIR=" + options.folder.string(), "SPARTRACK_LOG=debug"};
    if (options.shim.empty()) return variables;
    variables.push_back("LD_PRELOAD=" + options.shim.string());
    variables.push_back(std::string(shim_control_variable) + "=" + (options.folder / "control").string());
    variables.push_back(concat(shim_seed_variable, "=", options.shim_seed % shim_seed_limit));
    return variables;
}

// Returns a null-terminated array of pointers into `texts`.
std::vector<char*> pointers_to(std::vector<std::string>& texts) {
    std::vector<char*> pointers;
    for (std::string& text : texts) pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

}  // namespace

GatewayProcess::GatewayProcess(const GatewayProcessOptions& options)
    : log_(options.folder / concat("process-", options.number, ".log")) {
    std::vector<std::string> variables = environment_of(options);
    const std::vector<char*> environment = pointers_to(variables);
    std::string program = options.program.string();
    char* const arguments[] = {program.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int standard : {STDOUT_FILENO, STDERR_FILENO})
        posix_spawn_file_actions_addopen(&actions, standard, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         log_mode);
    // The gateway must not inherit the descriptors of the soak: a socket that stays open in the gateway would
    // hide a client's disconnect.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error =
        posix_spawn(&process_id_, program.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) throw std::runtime_error("cannot start the gateway program " + program);
}

GatewayProcess::~GatewayProcess() {
    if (exited()) return;
    signal(SIGKILL);
    ::waitpid(process_id_, nullptr, 0);
}

void GatewayProcess::signal(int number) const {
    if (!exited_) ::kill(process_id_, number);
}

bool GatewayProcess::exited() {
    if (!exited_ && ::waitpid(process_id_, &wait_status_, WNOHANG) == process_id_) exited_ = true;
    return exited_;
}

}  // namespace fault_soak

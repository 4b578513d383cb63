// Runs the program api_gateway as a child process of a test.
#pragma once

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "loopback.h"

namespace gateway::server::test {

// A process of api_gateway with its own configuration file. The destructor kills the process if it still
// runs.
class Program {
  public:
    // `handover_folder`: the folder that the processes of one gateway share for upgrades; if empty, there is
    // none.
    explicit Program(const std::string& config, const std::string& handover_folder = {})
        : folder_(make_folder()) {
        write(config);
        std::string name = API_GATEWAY_PROGRAM;
        std::string config_variable = "BALANCER_CONFIG=" + file().string();
        std::string folder_variable = "TMPDIR=" + handover_folder;
        char* const arguments[] = {name.data(), nullptr};
        char* const environment[] = {config_variable.data(), folder_variable.data(), nullptr};
        if (posix_spawn(&id_, API_GATEWAY_PROGRAM, nullptr, nullptr, arguments, environment) != 0) id_ = -1;
    }
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;
    ~Program() {
        if (id_ > 0 && !ended()) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    // Overwrites the configuration file.
    void write(const std::string& config) { std::ofstream(file()) << config; }
    void signal(int number) { ::kill(id_, number); }
    // Whether the process has ended or could not be started.
    [[nodiscard]] bool ended() {
        if (id_ <= 0 || ended_) return true;
        ended_ = ::waitpid(id_, &status_, WNOHANG) == id_;
        return ended_;
    }
    // The exit status of a process that has ended; -1 if a signal terminated it.
    [[nodiscard]] int exit_status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1; }

    // Creates an empty temporary folder. The caller has to remove it.
    [[nodiscard]] static std::filesystem::path make_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "api-gateway-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary folder for the test");
        return name;
    }

  private:
    [[nodiscard]] std::filesystem::path file() const { return folder_ / "config.json"; }
    std::filesystem::path folder_;
    // The process id; -1: the process could not be started.
    pid_t id_ = -1;
    // The status that waitpid has returned.
    int status_ = 0;
    // Whether waitpid has reported the end of the process.
    bool ended_ = false;
};

}  // namespace gateway::server::test

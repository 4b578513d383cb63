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

// A process of the program with a configuration file of its own. The destructor kills it if it still runs.
class Program {
  public:
    // `handover_folder`: shared by the processes of one gateway; empty: there is none.
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
    // Also if it could not be started.
    [[nodiscard]] bool ended() {
        if (id_ <= 0 || ended_) return true;
        ended_ = ::waitpid(id_, &status_, WNOHANG) == id_;
        return ended_;
    }
    // Of a process that has ended; -1 if a signal ended it.
    [[nodiscard]] int exit_status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1; }

    // An empty folder; the caller removes it.
    [[nodiscard]] static std::filesystem::path make_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "api-gateway-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for the test");
        return name;
    }

  private:
    [[nodiscard]] std::filesystem::path file() const { return folder_ / "config.json"; }
    std::filesystem::path folder_;
    pid_t id_ = -1;       // of the process; -1: not started
    int status_ = 0;      // as waitpid gives it
    bool ended_ = false;  // and has been waited for
};

}  // namespace gateway::server::test

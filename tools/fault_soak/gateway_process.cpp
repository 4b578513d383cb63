#include "gateway_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <new>
#include <stdexcept>
#include <vector>

#include "text.h"

namespace fault_soak {
namespace {
constexpr int first_port = 20000, ranges = 50, ports_of_a_range = 240;

bool is_free(std::uint16_t port) {
    asio::io_context io;
    const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();
    error_code tcp_error, udp_error;
    tcp::acceptor listener(io);
    listener.open(tcp::v4());
    listener.bind({loopback, port}, tcp_error);
    asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
    datagrams.bind({loopback, port}, udp_error);
    return !tcp_error && !udp_error;
}
}  // namespace

Ports::Ports() : next_(static_cast<std::uint16_t>(first_port + ::getpid() % ranges * ports_of_a_range)) {}
std::uint16_t Ports::take() {
    for (int tries = 0; tries < ports_of_a_range; ++tries)
        if (is_free(++next_)) return next_;
    throw std::runtime_error("no free port on loopback");
}

MappedControl::MappedControl(const std::filesystem::path& file) {
    std::ofstream(file).write(std::string(sizeof(ShimControl), '\0').data(), sizeof(ShimControl));
    const int opened = ::open(file.c_str(), O_RDWR | O_CLOEXEC);
    void* const mapped =
        opened < 0 ? MAP_FAILED
                   : ::mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, opened, 0);
    if (opened >= 0) ::close(opened);
    if (mapped == MAP_FAILED) throw std::runtime_error("can't map " + file.string());
    control_ = new (mapped) ShimControl;
}
MappedControl::~MappedControl() { ::munmap(control_, sizeof(ShimControl)); }

GatewayProcess::GatewayProcess(const Files& files, const std::filesystem::path& config, int number,
                               std::uint64_t seed)
    : log_(files.folder / concat("process-", number, ".log")) {
    std::vector<std::string> variables{"BALANCER_CONFIG=" + config.string(),
                                       "TMPDIR=" + files.folder.string(), "SPARTRACK_LOG=debug"};
    if (!files.shim.empty()) {
        variables.push_back("LD_PRELOAD=" + files.shim.string());
        variables.push_back(std::string(shim_control_variable) + "=" + (files.folder / "control").string());
        variables.push_back(concat(shim_seed_variable, "=", seed % 1'000'000));
    }
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    std::string name = files.program.string();
    char* const arguments[] = {name.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int standard : {STDOUT_FILENO, STDERR_FILENO})
        posix_spawn_file_actions_addopen(&actions, standard, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
    // What the soak has open must not live on in a gateway: a client that leaves would not be seen to.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = posix_spawn(&id_, name.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error("can't start " + name);
}
GatewayProcess::~GatewayProcess() {
    if (ended()) return;
    signal(SIGKILL);
    ::waitpid(id_, nullptr, 0);
}
void GatewayProcess::signal(int number) const {
    if (!ended_) ::kill(id_, number);
}
bool GatewayProcess::ended() {
    if (!ended_ && ::waitpid(id_, &status_, WNOHANG) == id_) ended_ = true;
    return ended_;
}

}  // namespace fault_soak

// The program api_gateway: its start, signals and exit status.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "config_reloader.h"
#include "log.h"
#include "runtime.h"

namespace {
// File descriptors reserved for everything except client and host connections: standard streams, event loop,
// signals, listener, peer socket, discovery, the admin server and its connections, and those of a second
// process during an upgrade.
constexpr std::size_t reserved_descriptors = 48;

// Returns the configured limit or the system's limit on descriptors, whichever is lower.
std::size_t socket_limit(std::size_t configured) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
    return std::min<std::size_t>(configured, limit.rlim_cur);
}

std::size_t sockets_for_connections(std::size_t sockets) {
    return sockets > 2 * reserved_descriptors ? sockets - reserved_descriptors : reserved_descriptors;
}

// Blocks the signals that the program handles. One that arrives during the teardown, when the handlers have
// been removed, would otherwise end the process by its default action, which counts as a crash.
void block_handled_signals() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int number : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&handled, number);
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}
}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    // SIGHUP is ignored until ConfigReloader handles it, because there is no configuration to reload yet.
    std::signal(SIGHUP, SIG_IGN);
    const auto environment = [](const char* name) -> const char* { return std::getenv(name); };
    gateway::server::set_log_level(environment("SPARTRACK_LOG"));
    try {
        const gateway::server::Config config = gateway::server::load_config_at_start(environment);
        const std::size_t sockets = socket_limit(config.sockets);
        gateway::server::SocketBudget budget(sockets_for_connections(sockets));
        // A single thread runs the event loop, so Asio needs no locks.
        boost::asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        gateway::server::Runtime runtime(io, budget, config);
        gateway::server::ConfigReloader reloader(
            io, environment, [&](const gateway::server::Config& reloaded) { runtime.reload(reloaded); });
        signals.async_wait([&](const boost::system::error_code& ec, int) {
            if (!ec) runtime.drain([&io] { io.stop(); });
        });
        io.run();
        block_handled_signals();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "api_gateway: %s\n", error.what());
        return 1;
    }
    return 0;
}

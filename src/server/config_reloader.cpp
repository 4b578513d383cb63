#include "config_reloader.h"

#include <csignal>
#include <exception>

#include "log.h"

namespace gateway::server {
namespace {
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

// The former discovery closes its connections 1.5 s after the signal.
constexpr std::chrono::milliseconds read_again = 100ms, read_again_most = 5s;
}  // namespace

ConfigReloader::ConfigReloader(boost::asio::io_context& io, Environment environment,
                               std::function<void(const Config&)> on_config)
    : environment_(std::move(environment)),
      on_config_(std::move(on_config)),
      hangups_(io, SIGHUP),
      pause_(io) {
    await_signal();
}

void ConfigReloader::await_signal() {
    hangups_.async_wait([this](const boost::system::error_code& ec, int) {
        if (ec) return;
        give_up_ = Steady::now() + read_again_most;
        read();
        await_signal();
    });
}

void ConfigReloader::read() {
    pause_.cancel();
    try {
        return on_config_(load_config(environment_));
    } catch (const std::exception& error) {
        const bool gives_up = Steady::now() >= give_up_;
        LogLine(gives_up ? LogLevel::error : LogLevel::warning, "configuration_kept")
            .with("error", error.what())
            .with("read_again", gives_up ? "no" : "yes");
        if (gives_up) return;
    }
    pause_.expires_after(read_again);
    pause_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) read();
    });
}

}  // namespace gateway::server

#include "config_reloader.h"

#include <csignal>
#include <exception>

#include "log.h"

namespace gateway::server {
namespace {
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

// The previous discovery server closes its connections 1.5 s after the signal, so the interval between
// retries has to be much shorter.
constexpr std::chrono::milliseconds retry_interval = 100ms;
constexpr std::chrono::milliseconds max_retry_time = 5s;
}  // namespace

ConfigReloader::ConfigReloader(boost::asio::io_context& io, Environment environment,
                               std::function<void(const Config&)> on_config)
    : environment_(std::move(environment)),
      on_config_(std::move(on_config)),
      hangup_signals_(io, SIGHUP),
      retry_timer_(io) {
    wait_for_signal();
}

void ConfigReloader::wait_for_signal() {
    hangup_signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (ec) return;
        give_up_at_ = Steady::now() + max_retry_time;
        load();
        wait_for_signal();
    });
}

void ConfigReloader::load() {
    retry_timer_.cancel();
    try {
        return on_config_(load_config(environment_));
    } catch (const std::exception& error) {
        const bool gives_up = Steady::now() >= give_up_at_;
        LogLine(gives_up ? LogLevel::error : LogLevel::warning, "configuration_kept")
            .with("error", error.what())
            .with("read_again", gives_up ? "no" : "yes");
        if (gives_up) return;
    }
    retry_timer_.expires_after(retry_interval);
    retry_timer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) load();
    });
}

}  // namespace gateway::server

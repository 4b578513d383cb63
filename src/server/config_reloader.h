// Reloads the configuration on SIGHUP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "config.h"

namespace gateway::server {

// Loads the configuration on each SIGHUP. A file that cannot be read, or is invalid because it is only partly
// written, is retried for some seconds after the signal. If it is still invalid then, the current
// configuration stays in force.
class ConfigReloader {
  public:
    // Calls `on_config` with each new configuration. An exception from `on_config` is handled like an invalid
    // file.
    ConfigReloader(boost::asio::io_context& io, Environment environment,
                   std::function<void(const Config&)> on_config);

  private:
    void wait_for_signal();
    void load();

    Environment environment_;
    std::function<void(const Config&)> on_config_;
    boost::asio::signal_set hangup_signals_;
    boost::asio::steady_timer retry_timer_;
    std::chrono::steady_clock::time_point give_up_at_;
};

}  // namespace gateway::server

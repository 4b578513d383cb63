// Takes in a new configuration on SIGHUP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "config.h"

namespace gateway::server {

// A file that can't be read or is half written at the signal is read again for some seconds: what it is to
// say counts from the signal on. After that the gateway goes on with what it has.
class ConfigReloader {
  public:
    ConfigReloader(boost::asio::io_context& io, Environment environment,
                   std::function<void(const Config&)> on_config);

  private:
    void await_signal();
    void read();

    Environment environment_;
    std::function<void(const Config&)> on_config_;
    boost::asio::signal_set hangups_;
    boost::asio::steady_timer pause_;
    std::chrono::steady_clock::time_point give_up_;
};

}  // namespace gateway::server

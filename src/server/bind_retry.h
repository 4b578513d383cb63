// Binding of listeners at the start of the process.
#pragma once

#include <boost/system/system_error.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "clock.h"
#include "config.h"

namespace gateway::server {

// How long a start waits for descriptors and buffers, and how often it tries: the gateway has to be ready
// within 10 s of its start.
inline constexpr std::chrono::milliseconds max_bind_time{5000};
inline constexpr std::chrono::milliseconds bind_retry_interval{20};

// Whether a socket could not be made for want of something that may be available again in a moment.
[[nodiscard]] bool is_transient_shortage(const boost::system::error_code& error);

// Returns `make()`, which binds a socket, and retries it through a transient shortage. Blocks the event loop
// meanwhile, because nothing is served before the listeners are bound. Throws ConfigError, which names the
// configuration key of the address, if the address can't be bound.
template <class Make>
[[nodiscard]] auto bind_with_retry(const char* key, Make make) {
    const auto give_up_at = Steady::now() + max_bind_time;
    while (true) {
        try {
            return make();
        } catch (const boost::system::system_error& error) {
            if (!is_transient_shortage(error.code()) || Steady::now() >= give_up_at)
                throw ConfigError(std::string("config: ") + key +
                                  ": expected an address that can be bound, got '" + error.code().message() +
                                  "'");
        }
        std::this_thread::sleep_for(bind_retry_interval);
    }
}

}  // namespace gateway::server

// Binds listeners when the process starts, and retries during a transient shortage of resources.
#pragma once

#include <boost/system/system_error.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "clock.h"
#include "config.h"

namespace gateway::server {

// How long binding is retried while descriptors or buffers are short. The gateway has to be ready within 10 s
// of its start.
inline constexpr std::chrono::milliseconds max_bind_time{5000};
// Delay between two attempts to bind.
inline constexpr std::chrono::milliseconds bind_retry_interval{20};

// Whether the error reports a lack of descriptors, buffers or memory, which may be available again shortly.
[[nodiscard]] bool is_transient_shortage(const boost::system::error_code& error);

// Calls `bind_socket`, which throws boost::system::system_error on failure, and returns its result. Retries
// during a transient shortage, for up to `max_bind_time`. Blocks the event loop meanwhile, which is
// acceptable because nothing is served before the listeners are bound. Throws ConfigError, which names `key`,
// the configuration key of the address, if the address can't be bound.
template <class BindSocket>
[[nodiscard]] auto bind_with_retry(const char* key, BindSocket bind_socket) {
    const auto give_up_at = Steady::now() + max_bind_time;
    while (true) {
        try {
            return bind_socket();
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

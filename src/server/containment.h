// Limits the effect of an exception in a connection's handler to that connection.
#pragma once

#include <exception>

#include "log.h"

namespace gateway::server {

// Runs a handler of one connection. An exception from it, such as an exceeded buffer limit or exhausted
// memory, is logged and closes only that connection: `close` is called. `side` names the connection's kind in
// the log: "client" or "host".
template <class Handler, class Close>
void run_contained(const char* side, Handler handler, Close close) {
    try {
        handler();
    } catch (const std::exception& error) {
        LogLine(LogLevel::error, "connection_handler_failed").with("side", side).with("error", error.what());
        close();
    }
}

}  // namespace gateway::server

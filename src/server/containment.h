// Keeps an exception in the handler of one connection from ending the process.
#pragma once

#include <exception>

#include "log.h"

namespace gateway::server {

// Runs a handler of one connection. An exception from it (a buffer limit, memory exhaustion) is logged and
// ends that connection alone: `close` is called, and the handler is not run further. `side` names the
// connection's side in the log: "client" or "host".
template <class Handler, class Close>
void contain(const char* side, Handler handler, Close close) {
    try {
        handler();
    } catch (const std::exception& error) {
        LogLine(LogLevel::error, "connection_handler_failed").with("side", side).with("error", error.what());
        close();
    }
}

}  // namespace gateway::server

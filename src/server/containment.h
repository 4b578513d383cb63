// Keeps what one connection throws from ending the process.
#pragma once

#include <exception>

#include "log.h"

namespace gateway::server {

// Runs `step` of one connection. What it throws (a bound of a buffer, memory that is short) ends that
// connection alone: `abandon` is called, with no further step.
template <class Step, class Abandon>
void contain(const char* whose, Step step, Abandon abandon) {
    try {
        step();
    } catch (const std::exception& error) {
        LogLine(LogLevel::error, "connection_abandoned").with("whose", whose).with("error", error.what());
        abandon();
    }
}

}  // namespace gateway::server

// Attempts at hosts and their results, as the host pool and its connections exchange them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "http.h"
#include "reasons.h"

namespace gateway::server {

// Identifies one attempt (first try, retry or hedged request) of a client's request.
struct AttemptKey {
    std::uint64_t request = 0;
    int attempt = 0;

    [[nodiscard]] bool operator==(const AttemptKey&) const = default;
};

// The result of an attempt or a health check.
struct HostResult {
    HostOutcome outcome = HostOutcome::error;
    std::chrono::microseconds elapsed{0};  // until the response was complete, or until a streamed one began
    Answer answer;                         // complete after success; of a streamed response, the last piece
    std::string load_report;               // the host's load report header, verbatim; empty: none
};

}  // namespace gateway::server

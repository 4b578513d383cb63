// The keys of attempts, and the results of attempts and health checks.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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
    // Time from the start of the exchange to its end, or to the start of a streamed response.
    std::chrono::microseconds elapsed{0};
    // The complete response; for a streamed response, its header and the last piece of its body. Empty if the
    // exchange ended without a response.
    Answer answer;
    // Why the response is streamed. Set only for the first part of a streamed response.
    StreamReason stream_reason = StreamReason::long_body;
    // The number of body bytes that had arrived if the exchange ended after the response's header and before
    // its end.
    std::optional<std::size_t> partial_body_bytes;
    // The value of the response's load report header, unparsed; empty if the response has none.
    std::string load_report;
};

}  // namespace gateway::server

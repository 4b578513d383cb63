// The timeouts and limits of a client's connection.
#pragma once

#include <chrono>
#include <cstddef>

namespace gateway::server::client_limits {

// A client that sends nothing, or never completes its request, is to be closed within 3 s of connecting; the
// difference allows for the interval between two checks and for a loop that is late.
constexpr std::chrono::milliseconds header_timeout{2400};
// A body may take any time as long as this many bytes of it, or the rest, come within the timeout. That of
// the first request is shorter, for the reason above.
constexpr std::size_t min_body_progress_bytes = 1024;
constexpr std::chrono::milliseconds first_body_timeout{600};
constexpr std::chrono::milliseconds body_timeout{2000};
// Of a kept-alive connection between two requests.
constexpr std::chrono::milliseconds idle_timeout{10'000};
// A client may read its response slowly, but not make no progress for this long.
constexpr std::chrono::milliseconds write_timeout{10'000};
// Input behind a response that ends its connection is dropped within these limits. A client that sends on
// costs no more than that, and then finds the connection closed.
constexpr std::chrono::milliseconds linger_timeout{500};
constexpr std::size_t max_dropped_bytes = 512 * 1024;
constexpr std::size_t drop_buffer_bytes = 32 * 1024;
// The pause after a rejected request; doubled with each further one in a row, up to the maximum.
constexpr std::chrono::milliseconds initial_penalty{20};
constexpr std::chrono::milliseconds max_penalty{640};
// A kept-alive connection keeps no output buffer larger than this.
constexpr std::size_t max_idle_output_bytes = 8192;

}  // namespace gateway::server::client_limits

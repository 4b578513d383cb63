// The timeouts and size limits of client connections.
#pragma once

#include <chrono>
#include <cstddef>

namespace gateway::server::client_limits {

// A client that sends nothing, or never completes its request, must be disconnected within 3 s of connecting.
// The timeout is shorter, to leave a margin for the interval between two timeout checks and for a delayed
// event loop.
constexpr std::chrono::milliseconds header_timeout{2400};
// A body may take any time as long as this many bytes of it, or the rest, arrive within each timeout. The
// timeout is shorter for the first request on a connection, because of the 3 s limit above.
constexpr std::size_t min_body_progress_bytes = 1024;
constexpr std::chrono::milliseconds first_body_timeout{600};
constexpr std::chrono::milliseconds body_timeout{2000};
// The time that a kept-alive connection may be idle between two requests.
constexpr std::chrono::milliseconds idle_timeout{10'000};
// A client may read its response slowly, but the connection is closed if it reads nothing for this long.
constexpr std::chrono::milliseconds write_timeout{10'000};
// After a response that closes its connection, further input is dropped within these limits. A client that
// continues to send costs no more than that, and then finds the connection closed.
constexpr std::chrono::milliseconds linger_timeout{500};
constexpr std::size_t max_dropped_bytes = 512 * 1024;
constexpr std::size_t drop_buffer_bytes = 32 * 1024;
// The pause after a rejected request. It doubles with each further rejected request in a row, up to the
// maximum.
constexpr std::chrono::milliseconds initial_penalty{20};
constexpr std::chrono::milliseconds max_penalty{640};
// A kept-alive connection frees an output buffer that has grown larger than this.
constexpr std::size_t max_idle_output_bytes = 8192;

}  // namespace gateway::server::client_limits

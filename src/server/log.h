// The structured log: lines of key=value pairs on standard error.
//
// The environment variable SPARTRACK_LOG sets the lowest level that is written: error, warning, info (the
// default), debug or off. At level debug, each request, attempt, answer and closed connection is logged.
// Lines beyond a rate limit are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway::server {

enum class LogLevel { debug, info, warning, error, off };

// Sets the lowest level that is written, by its name. Null sets `info`. An unknown name leaves the level
// unchanged.
void set_log_level(const char* name);
// Whether lines of this level are written.
[[nodiscard]] bool logs(LogLevel level);

// A log line, written by the destructor. If lines of its level are not written, no text is formatted.
class LogLine {
  public:
    // `event`: a fixed name in snake_case, by which operators find lines of this kind.
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    // Each `with` appends a key and its value.
    LogLine& with(std::string_view key, std::string_view text);
    LogLine& with(std::string_view key, const char* text) { return with(key, std::string_view(text)); }
    LogLine& with(std::string_view key, std::int64_t number);
    LogLine& with(std::string_view key, std::uint64_t number) {
        return with(key, static_cast<std::int64_t>(number));
    }
    LogLine& with(std::string_view key, int number) { return with(key, std::int64_t{number}); }
    // The value is written in milliseconds, with three decimals.
    LogLine& with(std::string_view key, std::chrono::microseconds duration);

  private:
    void add(std::string_view key, std::string_view text);

    const LogLevel level_;
    const bool enabled_;
    std::string text_;
};

}  // namespace gateway::server

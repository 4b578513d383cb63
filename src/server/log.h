// Structured log lines of the gateway on standard error, as key=value pairs.
//
// $SPARTRACK_LOG names the lowest level that is written: error, warning, info (the default), debug or off. At
// debug each request, attempt, answer and closed connection has a line. Lines beyond a bounded rate are
// dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway::server {

enum class LogLevel { debug, info, warning, error, off };

// Sets the lowest level that is written, by its name. Null stands for `info`; an unknown name changes
// nothing.
void set_log_level(const char* name);
// Whether lines of that level are written.
[[nodiscard]] bool logs(LogLevel level);

// One line, written by its destructor. If its level is not written, no text is formatted.
class LogLine {
  public:
    // `event` names what happened, in snake_case; operators search for it.
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(std::string_view key, std::string_view text);
    LogLine& with(std::string_view key, const char* text) { return with(key, std::string_view(text)); }
    LogLine& with(std::string_view key, std::int64_t number);
    LogLine& with(std::string_view key, std::uint64_t number) {
        return with(key, static_cast<std::int64_t>(number));
    }
    LogLine& with(std::string_view key, int number) { return with(key, std::int64_t{number}); }
    // In milliseconds, with three decimals.
    LogLine& with(std::string_view key, std::chrono::microseconds duration);

  private:
    void add(std::string_view key, std::string_view text);

    const LogLevel level_;
    const bool enabled_;
    std::string text_;
};

}  // namespace gateway::server

#include "log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace gateway::server {
namespace {
using Steady = std::chrono::steady_clock;

constexpr std::string_view default_level = "info";
constexpr std::array<std::string_view, 5> level_names{"debug", "info", "warning", "error", "off"};
// Limits both the rate and the burst of log lines, because serving requests has priority over the log.
constexpr double max_lines_per_second = 1000;

spdlog::level::level_enum level_of(LogLevel level) {
    switch (level) {
        case LogLevel::debug:
            return spdlog::level::debug;
        case LogLevel::info:
            return spdlog::level::info;
        case LogLevel::warning:
            return spdlog::level::warn;
        case LogLevel::error:
            return spdlog::level::err;
        case LogLevel::off:
            break;
    }
    return spdlog::level::off;
}

// A token bucket that limits the log lines and counts those that were dropped.
class LineBudget {
  public:
    // Returns whether a line may be written. If not, counts it as dropped.
    bool take() {
        const auto now = Steady::now();
        const double refill =
            std::chrono::duration<double>(now - refilled_at_).count() * max_lines_per_second;
        tokens_ = std::min(max_lines_per_second, tokens_ + refill);
        refilled_at_ = now;
        if (tokens_ < 1) {
            ++dropped_;
            return false;
        }
        tokens_ -= 1;
        return true;
    }
    // Returns the number of lines dropped since the last call.
    std::int64_t take_dropped() { return std::exchange(dropped_, 0); }

  private:
    Steady::time_point refilled_at_ = Steady::now();
    double tokens_ = max_lines_per_second;
    std::int64_t dropped_ = 0;
};

// The logger of the process, which writes to standard error, and its line budget.
struct Log {
    Log() : logger("api_gateway", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
        // LogLine adds the monotonic time to each line, because the wall clock may be stepped.
        logger.set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
        logger.set_level(spdlog::level::info);
    }
    spdlog::logger logger;
    LineBudget budget;
};

Log& process_log() {
    static Log log;
    return log;
}

// Whether the text has to be quoted to be parsed as one value.
bool needs_quotes(std::string_view text) {
    return text.empty() || std::any_of(text.begin(), text.end(), [](char character) {
               return character <= ' ' || character == '"' || character == '=';
           });
}
}  // namespace

void set_log_level(const char* name) {
    const auto* const found =
        std::find(level_names.begin(), level_names.end(), name != nullptr ? name : default_level);
    if (found == level_names.end()) return;
    process_log().logger.set_level(level_of(static_cast<LogLevel>(found - level_names.begin())));
}
bool logs(LogLevel level) { return process_log().logger.should_log(level_of(level)); }

LogLine::LogLine(LogLevel level, std::string_view event) : level_(level), enabled_(logs(level)) {
    if (!enabled_) return;
    with("mono", std::chrono::duration_cast<std::chrono::microseconds>(Steady::now().time_since_epoch()));
    with("event", event);
}
LogLine::~LogLine() {
    Log& log = process_log();
    if (!enabled_ || !log.budget.take()) return;
    if (const std::int64_t dropped = log.budget.take_dropped(); dropped > 0) with("lines_dropped", dropped);
    log.logger.log(level_of(level_), spdlog::string_view_t(text_.data(), text_.size()));
}

void LogLine::add(std::string_view key, std::string_view text) {
    if (!text_.empty()) text_ += ' ';
    text_.append(key).append(1, '=').append(text);
}
LogLine& LogLine::with(std::string_view key, std::string_view text) {
    if (!enabled_) return *this;
    if (!needs_quotes(text)) {
        add(key, text);
        return *this;
    }
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') quoted += '\\';
        quoted += character < ' ' ? '?' : character;
    }
    quoted += '"';
    add(key, quoted);
    return *this;
}
LogLine& LogLine::with(std::string_view key, std::int64_t number) {
    if (!enabled_) return *this;
    char text[24];
    const auto* const end = std::to_chars(std::begin(text), std::end(text), number).ptr;
    add(key, {text, static_cast<std::size_t>(end - text)});
    return *this;
}
LogLine& LogLine::with(std::string_view key, std::chrono::microseconds duration) {
    if (!enabled_) return *this;
    char text[32];
    const int size = std::snprintf(text, sizeof text, "%.3fms", static_cast<double>(duration.count()) / 1e3);
    add(key, {text, static_cast<std::size_t>(size)});
    return *this;
}

}  // namespace gateway::server

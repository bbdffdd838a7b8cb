#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace guavaspan {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key and value of a log line.
struct LogField {
    std::string_view key;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Lines below this level are dropped.
void setLogLevel(LogLevel);

/// Queues one JSON line for standard output without blocking on a slow reader: lines above
/// the rate limit of an event name or the size limit of the queue are dropped and counted.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes queued lines as far as standard output accepts them without blocking. The event loop calls this periodically.
void flushLog();

/// Number of lines dropped since the process started.
std::uint64_t droppedLogLines();

}

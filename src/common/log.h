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

/// Queues one JSON line for standard output. It never waits for the reader:
/// what exceeds an event's rate or the queue is counted and dropped.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes what the reader takes now. Called regularly by an event loop.
void flushLog();

/// Lines dropped since the start.
std::uint64_t droppedLogLines();

}

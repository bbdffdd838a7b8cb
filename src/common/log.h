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

/// Writes one JSON line to standard error.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

}

#include "common/log.h"

#include "common/logqueue.h"

#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace guavaspan {

namespace {

    LogLevel minimumLevel = LogLevel::Info;

    /// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
    constexpr std::size_t maxNonBlockingWriteBytes = 4096;
    /// Limits the writes of one flush, so that a fast reader does not keep the event loop busy with log output.
    constexpr int maxWritesPerFlush = 64;

    LogQueue& queue()
    {
        static LogQueue logQueue { LogQueueOptions {} };
        return logQueue;
    }

    std::string_view levelName(LogLevel level)
    {
        constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
        return names[static_cast<std::size_t>(level)];
    }

    std::string timestamp()
    {
        auto now = std::chrono::system_clock::now();
        auto wholeSeconds = std::chrono::floor<std::chrono::seconds>(now);
        auto fractionMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - wholeSeconds).count();
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(wholeSeconds)), fractionMilliseconds);
    }

    /// Escapes each byte outside printable ASCII, so that text from a caller cannot break a log line.
    void appendQuoted(std::string& line, std::string_view text)
    {
        line += '"';
        for (unsigned char byte : text) {
            if (byte == '"' || byte == '\\') {
                line += '\\';
                line += static_cast<char>(byte);
            } else if (byte < 0x20 || byte >= 0x7f) {
                line += fmt::format("\\u{:04x}", byte);
            } else {
                line += static_cast<char>(byte);
            }
        }
        line += '"';
    }

    void appendValue(std::string& line, const std::string& value) { appendQuoted(line, value); }
    void appendValue(std::string& line, std::int64_t value) { fmt::format_to(std::back_inserter(line), "{}", value); }
    void appendValue(std::string& line, double value) { fmt::format_to(std::back_inserter(line), "{:.6g}", value); }
    void appendValue(std::string& line, bool value) { line += value ? "true" : "false"; }

    std::string formatLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        auto line = fmt::format(R"({{"time":"{}","level":"{}","event":"{}")", timestamp(), levelName(level), event);
        for (const auto& field : fields) {
            line += ',';
            appendQuoted(line, field.key);
            line += ':';
            std::visit([&](const auto& value) { appendValue(line, value); }, field.value);
        }
        line += "}\n";
        return line;
    }

    std::size_t writeToOutput(std::string_view bytes)
    {
        pollfd standardOutput { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
        if (::poll(&standardOutput, 1, 0) <= 0 || (standardOutput.revents & POLLOUT) == 0)
            return 0;
        auto written = ::write(STDOUT_FILENO, bytes.data(), std::min(bytes.size(), maxNonBlockingWriteBytes));
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    }

}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel || !queue().admit(event, Clock::now()))
        return;
    queue().push(formatLine(level, event, fields));
    // Warnings and errors are written at once, because the process may be about to exit.
    if (level >= LogLevel::Warning)
        flushLog();
}

void flushLog()
{
    int writes = 0;
    queue().flush([&](std::string_view bytes) -> std::size_t {
        return ++writes > maxWritesPerFlush ? 0 : writeToOutput(bytes);
    });
    if (auto dropped = queue().takeDropped(); dropped > 0)
        queue().push(formatLine(LogLevel::Warning, "log_lines_dropped", { { "lines", static_cast<std::int64_t>(dropped) } }));
}

std::uint64_t droppedLogLines()
{
    return queue().dropped();
}

}

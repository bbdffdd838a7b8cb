#include "common/log.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    LogLevel minimumLevel = LogLevel::Info;

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

    std::string timestamp()
    {
        auto now = std::chrono::system_clock::now();
        auto whole = std::chrono::floor<std::chrono::seconds>(now);
        auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - whole).count();
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(whole)), millis);
    }

}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel)
        return;
    nlohmann::ordered_json line = { { "time", timestamp() }, { "level", levelName(level) }, { "event", event } };
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.key)] = value; }, field.value);
    // Replacing invalid UTF-8 keeps a log line from failing on what a caller sent.
    fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}

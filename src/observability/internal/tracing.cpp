#include "observability/tracing.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr std::size_t traceparentLength = 55;
    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdLength = 16;
    constexpr int serverSpanKind = 2;

    bool isLowerHex(const std::string& text)
    {
        return text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    std::string unixNanoseconds(std::chrono::system_clock::time_point time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    json attributeObject(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

}

std::string TraceContext::toTraceparent() const
{
    return fmt::format("00-{}-{}-01", traceId, spanId);
}

TraceContext continueTrace(const std::string& traceparent, Random& random)
{
    TraceContext context { .traceId = randomId(random) + randomId(random), .spanId = randomId(random) };
    if (traceparent.size() < traceparentLength || !traceparent.starts_with("00-"))
        return context;
    auto traceId = traceparent.substr(3, traceIdLength);
    auto spanId = traceparent.substr(36, spanIdLength);
    if (!isLowerHex(traceId) || !isLowerHex(spanId))
        return context;
    return { .traceId = traceId, .spanId = spanId };
}

SpanWriter::SpanWriter(const std::string& path, std::string instance)
    : m_file(path.empty() ? nullptr : std::fopen(path.c_str(), "a"), &std::fclose)
    , m_instance(std::move(instance))
{
}

void SpanWriter::write(const Span& span)
{
    if (!m_file)
        return;
    json attributes = json::array();
    for (const auto& [key, value] : span.attributes)
        attributes.push_back(attributeObject(key, value));
    json spanObject {
        { "traceId", span.context.traceId },
        { "spanId", span.context.spanId },
        { "parentSpanId", span.parentSpanId },
        { "name", span.name },
        { "kind", serverSpanKind },
        { "startTimeUnixNano", unixNanoseconds(span.start) },
        { "endTimeUnixNano", unixNanoseconds(span.end) },
        { "attributes", attributes },
    };
    json resource { { "attributes", json::array({ attributeObject("service.name", "guavaspan"), attributeObject("service.instance.id", m_instance) }) } };
    json scope { { "scope", { { "name", "guavaspan" } } }, { "spans", json::array({ spanObject }) } };
    json line { { "resourceSpans", json::array({ { { "resource", resource }, { "scopeSpans", json::array({ scope }) } } }) } };
    fmt::print(m_file.get(), "{}\n", line.dump(-1, ' ', false, json::error_handler_t::replace));
    std::fflush(m_file.get());
}

}

#pragma once

#include "common/random.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>

namespace guavaspan {

/// A span's position in a distributed trace.
struct TraceContext {
    std::string traceId;
    std::string spanId;

    /// Value of the W3C traceparent header to send with the next request.
    std::string toTraceparent() const;
};

/// Continues the trace of a W3C traceparent header, or starts a new one if the header is missing or malformed.
TraceContext continueTrace(const std::string& traceparent, Random&);

/// A finished operation of a trace.
struct Span {
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::map<std::string, std::string> attributes;
};

/// Appends spans to a file as OTLP/JSON, one object per line; does nothing without a path.
class SpanWriter {
public:
    SpanWriter(const std::string& path, std::string instance);
    void write(const Span&);

private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> m_file;
    std::string m_instance;
};

}

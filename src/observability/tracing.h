#pragma once

#include "common/random.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>

namespace guavaspan {

/// Position in a distributed trace.
struct TraceContext {
    std::string traceId;
    std::string spanId;

    /// W3C header value for the next hop.
    std::string toTraceparent() const;
};

/// Reads a W3C traceparent header, or begins a new trace.
TraceContext continueTrace(const std::string& traceparent, Random&);

/// One finished hop.
struct Span {
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::map<std::string, std::string> attributes;
};

/// Writes spans as OTLP/JSON, one object a line.
class SpanWriter {
public:
    SpanWriter(const std::string& path, std::string instance);
    void write(const Span&);

private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> m_file;
    std::string m_instance;
};

}

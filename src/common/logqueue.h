#pragma once

#include "common/time.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace guavaspan {

struct LogQueueOptions {
    /// Bytes that wait for a slow reader.
    std::size_t maxQueuedBytes = 512 << 10;
    /// Lines of one event a second; a burst may use as many at once.
    double linesPerSecond = 400;
};

/// Holds log lines until the reader takes them, bounded in rate and in bytes.
class LogQueue {
public:
    /// Takes bytes and gives how many it took; 0 if the reader takes none now.
    using Writer = std::function<std::size_t(std::string_view)>;

    explicit LogQueue(LogQueueOptions options)
        : m_options(options)
    {
    }

    /// True if a line of this event may be written now; otherwise it is counted as dropped.
    bool admit(std::string_view event, TimePoint now);

    void push(std::string line);
    void flush(const Writer&);

    std::uint64_t dropped() const { return m_dropped; }

    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    struct Bucket {
        double lines = 0;
        TimePoint filledAt;
    };

    LogQueueOptions m_options;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::deque<std::string> m_lines;
    /// Bytes of the first line that were written already.
    std::size_t m_written = 0;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

}

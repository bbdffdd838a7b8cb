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

    std::uint64_t dropped() const { return m_droppedLines; }

    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    struct Bucket {
        double availableLines = 0;
        TimePoint refilledAt;
    };

    LogQueueOptions m_options;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::deque<std::string> m_lines;
    /// Bytes of the first line that were written already.
    std::size_t m_firstLineWrittenBytes = 0;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

}

#pragma once

#include "common/time.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace guavaspan {

struct LogQueueOptions {
    /// Maximum number of bytes queued while the reader is slow.
    std::size_t maxQueuedBytes = 512 << 10;
    /// Rate limit per event name; also the number of lines that one event name may write in a burst.
    double linesPerSecond = 400;
};

/// Queues log lines until the reader accepts them. Limits the lines per second of each event name and the total bytes queued.
class LogQueue {
public:
    /// Writes bytes and returns how many were written; 0 if the reader accepts none at present.
    using Writer = std::function<std::size_t(std::string_view)>;

    explicit LogQueue(LogQueueOptions options)
        : m_options(options)
    {
    }

    /// Returns true if the rate limit of the event name allows another line; otherwise counts the line as dropped.
    bool admit(std::string_view event, TimePoint now);

    void push(std::string line);
    void flush(const Writer&);

    std::uint64_t dropped() const { return m_droppedLines; }

    /// Returns the number of lines dropped since the last call.
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
    std::size_t m_firstLineWrittenBytes = 0;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

}

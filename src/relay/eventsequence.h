#pragma once

#include <cstdint>
#include <optional>

namespace guavaspan {

/// How an event follows those that the caller has received.
enum class EventPosition {
    Next,
    /// The caller has received it already.
    Repeated,
    /// Events before it are missing.
    AfterGap,
};

/// Checks the order of a generation's events by their numbers, which increase, across the engines that it moves to.
class EventSequence {
public:
    /// The next event comes from another connection, which may repeat events or leave some out.
    void onResumed() { m_resumed = true; }

    EventPosition add(std::int64_t number);

private:
    bool mayFollowAfterResume(std::int64_t number) const;

    std::optional<std::int64_t> m_last;
    /// The difference between consecutive numbers; 0 if it varies.
    std::optional<std::int64_t> m_step;
    bool m_resumed = false;
};

}

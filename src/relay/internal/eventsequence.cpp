#include "relay/eventsequence.h"

#include <utility>

namespace guavaspan {

/// Numbers whose steps vary do not tell whether events are missing.
bool EventSequence::mayFollowAfterResume(std::int64_t number) const
{
    auto step = number - *m_last;
    if (m_step)
        return *m_step == 0 || step == *m_step;
    // After a single event, which numbers count events, or the tokens of events of one size.
    return step == 1 || step == *m_last;
}

/// A connection delivers events in order and completely, so that numbers are compared with earlier steps only behind a resume.
EventPosition EventSequence::add(std::int64_t number)
{
    if (m_last && number <= *m_last)
        return EventPosition::Repeated;
    if (m_last && m_resumed && !mayFollowAfterResume(number))
        return EventPosition::AfterGap;
    if (m_last) {
        auto step = number - *m_last;
        m_step = m_step.value_or(step) == step ? step : 0;
    }
    m_last = number;
    m_resumed = false;
    return EventPosition::Next;
}

}

#include "quarantine/interruptionlog.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Interruptions by targets that are lost together end within this time: a silent connection is detected by
    /// probes that are a second apart.
    constexpr auto incidentWindow = Seconds(1);
    constexpr auto confirmedLifetime = std::chrono::minutes(30);

    template <typename Predicate>
    std::size_t countIncidents(const std::vector<Interruption>& interruptions, Predicate counts)
    {
        std::vector<const Interruption*> byEnd;
        for (const auto& interruption : interruptions) {
            if (counts(interruption))
                byEnd.push_back(&interruption);
        }
        std::sort(byEnd.begin(), byEnd.end(), [](const auto* a, const auto* b) { return a->endedAt < b->endedAt; });
        std::size_t incidents = 0;
        const Interruption* last = nullptr;
        for (const auto* interruption : byEnd) {
            bool sentAfterLast = last && interruption->sentAt >= last->endedAt;
            bool endedLater = last && interruption->endedAt > last->endedAt + incidentWindow;
            if (last && !sentAfterLast && !endedLater && !interruption->onTrial)
                continue;
            ++incidents;
            last = interruption;
        }
        return incidents;
    }

}

TargetIncarnation incarnationOf(const TargetEntry& target)
{
    return { .target = target.id, .startedAt = target.startedAt };
}

bool InterruptionLog::add(Interruption interruption)
{
    if (find(interruption.target))
        return false;
    m_interruptions.push_back(std::move(interruption));
    return true;
}

Interruption* InterruptionLog::find(const TargetIncarnation& target)
{
    auto found = std::find_if(m_interruptions.begin(), m_interruptions.end(), [&](const Interruption& interruption) { return interruption.target == target; });
    return found == m_interruptions.end() ? nullptr : &*found;
}

const Interruption* InterruptionLog::find(const TargetIncarnation& target) const
{
    auto found = std::find_if(m_interruptions.begin(), m_interruptions.end(), [&](const Interruption& interruption) { return interruption.target == target; });
    return found == m_interruptions.end() ? nullptr : &*found;
}

Clock::duration InterruptionLog::medianRunTime() const
{
    std::vector<Clock::duration> runTimes;
    for (const auto& interruption : m_interruptions) {
        if (interruption.isEvidence())
            runTimes.push_back(interruption.endedAt - interruption.sentAt);
    }
    if (runTimes.empty())
        return Clock::duration::max();
    auto median = runTimes.begin() + static_cast<std::ptrdiff_t>(runTimes.size() / 2);
    std::nth_element(runTimes.begin(), median, runTimes.end());
    return *median;
}

Clock::duration InterruptionLog::longestRunTime() const
{
    Clock::duration longest {};
    for (const auto& interruption : m_interruptions)
        longest = std::max(longest, interruption.endedAt - interruption.sentAt);
    return longest;
}

void InterruptionLog::onAlive(const TargetIncarnation& target, TimePoint provenAt)
{
    std::erase_if(m_interruptions, [&](const Interruption& interruption) { return !interruption.confirmed && interruption.target == target && interruption.endedAt < provenAt; });
}

void InterruptionLog::removeExpired(TimePoint now)
{
    std::erase_if(m_interruptions, [&](const Interruption& interruption) { return interruption.endedAt + (interruption.confirmed ? confirmedLifetime : m_lifetime) < now; });
}

void InterruptionLog::removeEndedBefore(TimePoint time)
{
    std::erase_if(m_interruptions, [&](const Interruption& interruption) { return interruption.endedAt < time; });
}

std::size_t InterruptionLog::confirmedIncidents() const
{
    return countIncidents(m_interruptions, [](const Interruption& interruption) { return interruption.confirmed; });
}

std::size_t InterruptionLog::possibleIncidents() const
{
    return countIncidents(m_interruptions, [](const Interruption& interruption) { return interruption.isEvidence(); });
}

std::size_t InterruptionLog::possibleCrashes() const
{
    return static_cast<std::size_t>(std::count_if(m_interruptions.begin(), m_interruptions.end(), [](const Interruption& interruption) { return interruption.isEvidence(); }));
}

std::size_t InterruptionLog::possibleCrashesElsewhere(const TargetIncarnation& target, TimePoint until) const
{
    return static_cast<std::size_t>(std::count_if(m_interruptions.begin(), m_interruptions.end(), [&](const Interruption& interruption) { return interruption.isEvidence() && interruption.target != target && interruption.endedAt <= until; }));
}

std::size_t InterruptionLog::confirmedCrashes() const
{
    return static_cast<std::size_t>(std::count_if(m_interruptions.begin(), m_interruptions.end(), [](const Interruption& interruption) { return interruption.confirmed; }));
}

}

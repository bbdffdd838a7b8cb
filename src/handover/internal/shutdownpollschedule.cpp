#include "handover/shutdownpollschedule.h"

namespace guavaspan {

namespace {

    /// A copy that is read through a peer reaches this age in normal operation: two watches of 0.7 s
    /// in sequence, plus the pauses between calls.
    constexpr auto maxAgeWithStore = Milliseconds(2400);
    /// The limit while this instance cannot reach the store: a single watch.
    constexpr auto maxAgeWithoutStore = Milliseconds(900);
    /// Time between two polls of one engine. Reclaimed engines give about 1.5 s of shutdown notice,
    /// and the status that they report is up to half a second old.
    constexpr auto pollInterval = Milliseconds(300);

}

/// An engine that removes its entry while the store is unavailable gives no other notice: its entry is taken for one that expired, for longer
/// than such an engine still serves.
std::vector<std::string> ShutdownPollSchedule::due(const std::set<std::string>& enginesInUse, const std::set<std::string>& withoutEntry, const StoreView& view, TimePoint now)
{
    std::erase_if(m_polledAt, [&](const auto& entry) { return enginesInUse.count(entry.first) == 0; });
    auto maxAge = view.reachable ? maxAgeWithStore : maxAgeWithoutStore;
    bool pollsAll = view.age > maxAge;
    if (!pollsAll && withoutEntry.empty())
        return {};
    std::vector<std::string> engines;
    for (const auto& engine : enginesInUse) {
        if (!pollsAll && !withoutEntry.contains(engine))
            continue;
        auto lastPoll = m_polledAt.find(engine);
        if (lastPoll != m_polledAt.end() && now < lastPoll->second + pollInterval)
            continue;
        m_polledAt.insert_or_assign(engine, now);
        engines.push_back(engine);
    }
    return engines;
}

}

#include "handover/shutdownpollschedule.h"

namespace guavaspan {

namespace {

    /// Copies that are read through a peer reach this age while all is well: two watches of 0.7 s,
    /// one behind the other, and the pauses between calls.
    constexpr auto maxAgeWithStore = Milliseconds(2400);
    /// The same where this instance itself lost the store: one watch.
    constexpr auto maxAgeWithoutStore = Milliseconds(900);
    /// Pause between two questions to one engine. Reclaimed engines give some 1.5 s of notice, and
    /// what they say of themselves is up to half a second old.
    constexpr auto pollInterval = Milliseconds(300);

}

std::vector<std::string> ShutdownPollSchedule::due(const std::set<std::string>& busyEngines, const StoreView& view, TimePoint now)
{
    std::erase_if(m_polledAt, [&](const auto& each) { return busyEngines.count(each.first) == 0; });
    auto maxAge = view.reachable ? maxAgeWithStore : maxAgeWithoutStore;
    if (view.age <= maxAge)
        return {};
    std::vector<std::string> engines;
    for (const auto& engine : busyEngines) {
        auto lastPoll = m_polledAt.find(engine);
        if (lastPoll != m_polledAt.end() && now < lastPoll->second + pollInterval)
            continue;
        m_polledAt.insert_or_assign(engine, now);
        engines.push_back(engine);
    }
    return engines;
}

}

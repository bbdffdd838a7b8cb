#include "handover/leavewatch.h"

namespace guavaspan {

namespace {

    /// Copies that are read through a peer reach this age while all is well: two watches of 0.7 s,
    /// one behind the other, and the pauses between calls.
    constexpr auto trustedAge = Milliseconds(2400);
    /// The same where this instance itself lost the store: one watch.
    constexpr auto trustedAgeWithoutStore = Milliseconds(900);
    /// Pause between two questions to one engine. Reclaimed engines give some 1.5 s of notice, and
    /// what they say of themselves is up to half a second old.
    constexpr auto askPause = Milliseconds(300);

}

std::vector<std::string> LeaveWatch::due(const std::set<std::string>& busyEngines, const StoreView& view, TimePoint now)
{
    std::erase_if(m_askedAt, [&](const auto& each) { return busyEngines.count(each.first) == 0; });
    auto trusted = view.reachable ? trustedAge : trustedAgeWithoutStore;
    if (view.age <= trusted)
        return {};
    std::vector<std::string> engines;
    for (const auto& engine : busyEngines) {
        auto asked = m_askedAt.find(engine);
        if (asked != m_askedAt.end() && now < asked->second + askPause)
            continue;
        m_askedAt.insert_or_assign(engine, now);
        engines.push_back(engine);
    }
    return engines;
}

}

#include "handover/movescheduler.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A move takes a few hundred ms; one that holds its links for longer has lost its instance.
    constexpr auto maxMoveDuration = Milliseconds(1500);
    /// Requests are repeated several times a second while they are wanted.
    constexpr auto requestTimeout = Milliseconds(700);
    /// Tokens that a generation makes during the shortest notice, 1.5 s, at some 10 ms each.
    constexpr int tokensDuringNotice = 150;

    /// The link of a leaving engine carries a handful of copies before the engine is gone. Those of
    /// small memory go first, since more of them fit; those that may end by themselves wait.
    bool hasPriority(const PendingMove& left, const PendingMove& right)
    {
        bool leftEndsSoon = left.expectedRemainingTokens < tokensDuringNotice;
        bool rightEndsSoon = right.expectedRemainingTokens < tokensDuringNotice;
        if (leftEndsSoon != rightEndsSoon)
            return rightEndsSoon;
        if (leftEndsSoon)
            return left.expectedRemainingTokens > right.expectedRemainingTokens;
        return left.tokensHeld < right.tokensHeld;
    }

}

void MoveScheduler::ask(PendingMove request, TimePoint now)
{
    if (m_active.count(request.key) > 0)
        return;
    auto key = request.key;
    m_queued.insert_or_assign(std::move(key), QueuedMove { .request = std::move(request), .lastRequestedAt = now });
}

void MoveScheduler::end(const std::string& key)
{
    m_queued.erase(key);
    m_active.erase(key);
}

std::set<std::string> MoveScheduler::busyEngines() const
{
    std::set<std::string> engines;
    for (const auto& [key, active] : m_active) {
        engines.insert(active.turn.source);
        engines.insert(active.turn.destination);
    }
    return engines;
}

bool MoveScheduler::isBusy(const std::string& engine) const
{
    return std::any_of(m_active.begin(), m_active.end(), [&](const auto& each) { return each.second.turn.source == engine || each.second.turn.destination == engine; });
}

std::vector<ScheduledMove> MoveScheduler::grant(const DestinationChooser& choose, TimePoint now)
{
    std::vector<const PendingMove*> order;
    order.reserve(m_queued.size());
    for (const auto& [key, waiting] : m_queued)
        order.push_back(&waiting.request);
    std::stable_sort(order.begin(), order.end(), [](const PendingMove* left, const PendingMove* right) { return hasPriority(*left, *right); });
    std::vector<ScheduledMove> turns;
    for (const auto* request : order) {
        if (isBusy(request->source))
            continue;
        auto excluded = busyEngines();
        excluded.insert(request->excluded.begin(), request->excluded.end());
        auto destination = choose(*request, excluded);
        if (!destination)
            continue;
        ScheduledMove turn { .key = request->key, .source = request->source, .destination = *destination };
        m_active.emplace(turn.key, ActiveMove { .turn = turn, .startedAt = now });
        turns.push_back(std::move(turn));
    }
    for (const auto& turn : turns)
        m_queued.erase(turn.key);
    return turns;
}

std::vector<std::string> MoveScheduler::expire(TimePoint now)
{
    std::vector<std::string> ended;
    for (const auto& [key, active] : m_active) {
        if (active.startedAt + maxMoveDuration < now)
            ended.push_back(key);
    }
    for (const auto& key : ended)
        m_active.erase(key);
    std::erase_if(m_queued, [&](const auto& each) { return each.second.lastRequestedAt + requestTimeout < now; });
    return ended;
}

const ScheduledMove* MoveScheduler::activeMove(const std::string& key) const
{
    auto found = m_active.find(key);
    return found == m_active.end() ? nullptr : &found->second.turn;
}

}

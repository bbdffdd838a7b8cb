#include "handover/movescheduler.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A move takes a few hundred ms; after this time the requesting instance is assumed to have failed.
    constexpr auto maxMoveDuration = Milliseconds(1500);
    /// A queued move expires after this time. Instances repeat a query several times a second for as long as they need the move.
    constexpr auto queuedMoveTimeout = Milliseconds(700);
    /// Tokens that a generation produces during the shortest shutdown notice, 1.5 s, at about 10 ms each.
    constexpr int tokensDuringNotice = 150;

    /// The link of an engine can carry only a handful of copies between its shutdown notice and its
    /// shutdown. Generations with few tokens in memory move first, because more of them fit into that
    /// time; those that may finish before the shutdown move last.
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

void MoveScheduler::add(PendingMove move, TimePoint now)
{
    if (m_active.count(move.key) > 0)
        return;
    auto key = move.key;
    m_queued.insert_or_assign(std::move(key), QueuedMove { .move = std::move(move), .lastQueriedAt = now });
}

void MoveScheduler::remove(const std::string& key)
{
    m_queued.erase(key);
    m_active.erase(key);
}

std::set<std::string> MoveScheduler::busyEngines() const
{
    std::set<std::string> engines;
    for (const auto& [key, active] : m_active) {
        engines.insert(active.move.source);
        engines.insert(active.move.destination);
    }
    return engines;
}

bool MoveScheduler::isBusy(const std::string& engine) const
{
    return std::any_of(m_active.begin(), m_active.end(), [&](const auto& entry) { return entry.second.move.source == engine || entry.second.move.destination == engine; });
}

std::vector<ScheduledMove> MoveScheduler::schedule(const DestinationChooser& chooseDestination, TimePoint now)
{
    std::vector<const PendingMove*> candidates;
    candidates.reserve(m_queued.size());
    for (const auto& [key, queued] : m_queued)
        candidates.push_back(&queued.move);
    std::stable_sort(candidates.begin(), candidates.end(), [](const PendingMove* left, const PendingMove* right) { return hasPriority(*left, *right); });
    std::vector<ScheduledMove> moves;
    for (const auto* candidate : candidates) {
        if (isBusy(candidate->source))
            continue;
        auto excluded = busyEngines();
        excluded.insert(candidate->excludedDestinations.begin(), candidate->excludedDestinations.end());
        auto destination = chooseDestination(*candidate, excluded);
        if (!destination)
            continue;
        ScheduledMove move { .key = candidate->key, .source = candidate->source, .destination = *destination };
        m_active.emplace(move.key, ActiveMove { .move = move, .startedAt = now });
        moves.push_back(std::move(move));
    }
    for (const auto& move : moves)
        m_queued.erase(move.key);
    return moves;
}

std::vector<std::string> MoveScheduler::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [key, active] : m_active) {
        if (active.startedAt + maxMoveDuration < now)
            expired.push_back(key);
    }
    for (const auto& key : expired)
        m_active.erase(key);
    std::erase_if(m_queued, [&](const auto& entry) { return entry.second.lastQueriedAt + queuedMoveTimeout < now; });
    return expired;
}

const ScheduledMove* MoveScheduler::activeMove(const std::string& key) const
{
    auto found = m_active.find(key);
    return found == m_active.end() ? nullptr : &found->second.move;
}

}

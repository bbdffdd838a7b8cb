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
    constexpr auto timePerToken = Milliseconds(10);
    /// Time before a shutdown that suffices for two or three copies only.
    constexpr auto shortNotice = Milliseconds(700);

    /// The link of an engine can carry only a handful of copies between its shutdown notice and its
    /// shutdown. Generations with few tokens in memory move first, because more of them fit into that
    /// time; those that may finish before the shutdown move last. With a short notice only a few move at all:
    /// first those that are the least likely to finish, and none that would block the link beyond the shutdown.
    struct MovePriority {
        bool arrivesTooLate = false;
        bool endsSoon = false;
        bool isShortNotice = false;
        int tokensHeld = 0;
        int remainingTokens = 0;
    };

    bool arrivesTooLate(const PendingMove& move, TimePoint now)
    {
        return move.shutdownAt && now + move.copyTime > *move.shutdownAt;
    }

    MovePriority priorityOf(const PendingMove& move, TimePoint now)
    {
        MovePriority priority { .arrivesTooLate = arrivesTooLate(move, now), .tokensHeld = move.tokensHeld, .remainingTokens = move.expectedRemainingTokens };
        int tokensUntilShutdown = tokensDuringNotice;
        if (move.shutdownAt) {
            auto timeLeft = std::max(Clock::duration {}, *move.shutdownAt - now);
            priority.isShortNotice = timeLeft < shortNotice;
            tokensUntilShutdown = std::min(tokensDuringNotice, static_cast<int>(timeLeft / timePerToken));
        }
        priority.endsSoon = priority.remainingTokens < tokensUntilShutdown;
        return priority;
    }

    bool hasPriority(const MovePriority& left, const MovePriority& right)
    {
        if (left.arrivesTooLate != right.arrivesTooLate)
            return right.arrivesTooLate;
        if (left.endsSoon != right.endsSoon)
            return right.endsSoon;
        if (left.isShortNotice != right.isShortNotice)
            return left.isShortNotice;
        if (left.endsSoon || left.isShortNotice)
            return left.remainingTokens > right.remainingTokens;
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
    std::stable_sort(candidates.begin(), candidates.end(), [&](const PendingMove* left, const PendingMove* right) { return hasPriority(priorityOf(*left, now), priorityOf(*right, now)); });
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

double MoveScheduler::queuedTokens(const std::function<bool(const PendingMove&)>& counts, TimePoint now) const
{
    double tokens = 0;
    for (const auto& [key, queued] : m_queued) {
        if (counts(queued.move) && !arrivesTooLate(queued.move, now))
            tokens += queued.move.tokensHeld;
    }
    return tokens;
}

const ScheduledMove* MoveScheduler::activeMove(const std::string& key) const
{
    auto found = m_active.find(key);
    return found == m_active.end() ? nullptr : &found->second.move;
}

}

#include "handover/moveturns.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A move takes a few hundred ms; one that holds its links for longer has lost its instance.
    constexpr auto longestTurn = Milliseconds(1500);
    /// Requests are repeated several times a second while they are wanted.
    constexpr auto repeatSilence = Milliseconds(700);
    /// Tokens that a generation makes during the shortest notice, 1.5 s, at some 10 ms each.
    constexpr int tokensWithinNotice = 150;

    /// The link of a leaving engine carries a handful of copies before the engine is gone. Those of
    /// small memory go first, since more of them fit; those that may end by themselves wait.
    bool goesBefore(const MoveRequest& left, const MoveRequest& right)
    {
        bool leftEnds = left.expectedRemainingTokens < tokensWithinNotice;
        bool rightEnds = right.expectedRemainingTokens < tokensWithinNotice;
        if (leftEnds != rightEnds)
            return rightEnds;
        if (leftEnds)
            return left.expectedRemainingTokens > right.expectedRemainingTokens;
        return left.tokensHeld < right.tokensHeld;
    }

}

void MoveTurns::ask(MoveRequest request, TimePoint now)
{
    if (m_active.count(request.key) > 0)
        return;
    auto key = request.key;
    m_waiting.insert_or_assign(std::move(key), Waiting { .request = std::move(request), .lastAsked = now });
}

void MoveTurns::end(const std::string& key)
{
    m_waiting.erase(key);
    m_active.erase(key);
}

std::set<std::string> MoveTurns::busyEngines() const
{
    std::set<std::string> engines;
    for (const auto& [key, active] : m_active) {
        engines.insert(active.turn.source);
        engines.insert(active.turn.destination);
    }
    return engines;
}

bool MoveTurns::busy(const std::string& engine) const
{
    return std::any_of(m_active.begin(), m_active.end(), [&](const auto& each) { return each.second.turn.source == engine || each.second.turn.destination == engine; });
}

std::vector<MoveTurn> MoveTurns::grant(const DestinationChooser& choose, TimePoint now)
{
    std::vector<const MoveRequest*> order;
    order.reserve(m_waiting.size());
    for (const auto& [key, waiting] : m_waiting)
        order.push_back(&waiting.request);
    std::stable_sort(order.begin(), order.end(), [](const MoveRequest* left, const MoveRequest* right) { return goesBefore(*left, *right); });
    std::vector<MoveTurn> turns;
    for (const auto* request : order) {
        if (busy(request->source))
            continue;
        auto excluded = busyEngines();
        excluded.insert(request->excluded.begin(), request->excluded.end());
        auto destination = choose(*request, excluded);
        if (!destination)
            continue;
        MoveTurn turn { .key = request->key, .source = request->source, .destination = *destination };
        m_active.emplace(turn.key, Active { .turn = turn, .since = now });
        turns.push_back(std::move(turn));
    }
    for (const auto& turn : turns)
        m_waiting.erase(turn.key);
    return turns;
}

std::vector<std::string> MoveTurns::expire(TimePoint now)
{
    std::vector<std::string> ended;
    for (const auto& [key, active] : m_active) {
        if (active.since + longestTurn < now)
            ended.push_back(key);
    }
    for (const auto& key : ended)
        m_active.erase(key);
    std::erase_if(m_waiting, [&](const auto& each) { return each.second.lastAsked + repeatSilence < now; });
    return ended;
}

const MoveTurn* MoveTurns::turnOf(const std::string& key) const
{
    auto found = m_active.find(key);
    return found == m_active.end() ? nullptr : &found->second.turn;
}

}

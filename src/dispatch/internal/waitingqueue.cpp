#include "dispatch/waitingqueue.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Span over which starts are averaged: about half the life of a long generation.
    constexpr auto startWindow = Milliseconds(4000);
    /// Later arrival that one expected output token counts as: generations of the longest kind, some
    /// 2,000 tokens, are passed by short ones for about as long as callers of streams can wait.
    constexpr auto delayPerOutputToken = Microseconds(800);
    /// Starts below which a rate is not trusted.
    constexpr std::size_t minStarts = 3;

}

/// Whoever waits beside an organisation that has all of the targets counts as another one.
bool WaitingQueue::isAboveFairShare(const std::string& organisation) const
{
    auto found = m_tokensByOrganisation.find(organisation);
    if (found == m_tokensByOrganisation.end())
        return false;
    auto organisations = std::max<std::size_t>(2, m_tokensByOrganisation.size());
    return found->second * static_cast<double>(organisations) > m_totalTokens;
}

/// A generation takes its memory for as long as it is long, so where not all can run more of them run
/// if the short ones go first. A long one is passed only by those that arrive within its delay.
bool WaitingQueue::precedes(const WaitingRequest& left, const WaitingRequest& right) const
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    bool leftAboveShare = isAboveFairShare(left.organisation);
    bool rightAboveShare = isAboveFairShare(right.organisation);
    if (leftAboveShare != rightAboveShare)
        return rightAboveShare;
    return left.arrivedAt + left.estimate.outputTokens * delayPerOutputToken < right.arrivedAt + right.estimate.outputTokens * delayPerOutputToken;
}

/// More urgent requests that arrive later go ahead as well, so each rank is measured by its own starts.
Clock::duration WaitingQueue::expectedWait(const WaitingRequest& newcomer, TimePoint now) const
{
    double ahead = 0;
    double aheadOfRank = 0;
    for (const auto& each : m_waiting) {
        bool sameClass = each.service == newcomer.service && each.estimate.isShort() == newcomer.estimate.isShort();
        if (!sameClass || !precedes(each, newcomer))
            continue;
        (each.rank == newcomer.rank ? aheadOfRank : ahead) += each.estimate.totalTokens();
    }
    auto starts = m_recentStarts.find(newcomer.service);
    if (starts == m_recentStarts.end() || ahead + aheadOfRank == 0)
        return {};
    double started = 0;
    double startedOfRank = 0;
    std::size_t count = 0;
    for (const auto& each : starts->second) {
        if (each.at + startWindow < now)
            continue;
        if (each.isShort != newcomer.estimate.isShort())
            continue;
        ++count;
        started += each.tokens;
        if (each.rank >= newcomer.rank)
            startedOfRank += each.tokens;
    }
    if (count < minStarts)
        return {};
    double windows = ahead / started + (aheadOfRank > 0 ? aheadOfRank / std::max(1.0, startedOfRank) : 0);
    constexpr double maxWindows = 10;
    return fromSeconds(std::min(windows, maxWindows) * std::chrono::duration<double>(startWindow).count());
}

EnqueueResult WaitingQueue::enqueue(WaitingRequest request, TimePoint now)
{
    auto wait = expectedWait(request, now);
    if (now + wait > request.latestStart)
        return { .accepted = false, .expectedWait = wait };
    m_waiting.push_back(std::move(request));
    return { .accepted = true, .expectedWait = wait };
}

void WaitingQueue::remove(WorkId id)
{
    std::erase_if(m_waiting, [&](const WaitingRequest& each) { return each.id == id; });
}

std::optional<WaitingRequest> WaitingQueue::takeNext(const std::function<bool(const WaitingRequest&)>& canStart)
{
    std::vector<std::size_t> order(m_waiting.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return precedes(m_waiting[left], m_waiting[right]); });
    std::set<std::pair<std::string, bool>> blockedClasses;
    for (auto index : order) {
        const auto& request = m_waiting[index];
        std::pair requestClass(request.service, request.estimate.isShort());
        if (blockedClasses.count(requestClass) > 0)
            continue;
        if (!canStart(request)) {
            // Smaller requests that pass a large one would keep it waiting for good; brief ones
            // give their memory back before it could have used it.
            blockedClasses.insert(requestClass);
            continue;
        }
        auto chosen = m_waiting[index];
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        return chosen;
    }
    return std::nullopt;
}

std::vector<WaitingRequest> WaitingQueue::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(expired), [&](const WaitingRequest& each) { return each.latestStart <= now; });
    std::erase_if(m_waiting, [&](const WaitingRequest& each) { return each.latestStart <= now; });
    return expired;
}

void WaitingQueue::onStarted(const std::string& service, const std::string& organisation, Rank rank, const WorkEstimate& estimate, TimePoint now)
{
    m_tokensByOrganisation[organisation] += estimate.totalTokens();
    m_totalTokens += estimate.totalTokens();
    auto& started = m_recentStarts[service];
    started.push_back({ .at = now, .rank = rank, .isShort = estimate.isShort(), .tokens = estimate.totalTokens() });
    while (!started.empty() && started.front().at + startWindow < now)
        started.pop_front();
}

void WaitingQueue::onEnded(const std::string& organisation, const WorkEstimate& estimate)
{
    auto found = m_tokensByOrganisation.find(organisation);
    if (found == m_tokensByOrganisation.end())
        return;
    found->second -= estimate.totalTokens();
    m_totalTokens -= estimate.totalTokens();
    if (found->second < 1)
        m_tokensByOrganisation.erase(found);
}

}

#include "dispatch/waitingqueue.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Window over which starts are averaged: about half the duration of a long generation.
    constexpr auto startWindow = Milliseconds(4000);
    /// Delay in the queue order per expected output token. The longest generations, of some 2,000 tokens, are
    /// overtaken by short ones for about as long as callers of streams can wait.
    constexpr auto delayPerOutputToken = Microseconds(800);
    /// Number of starts in the window from which the start rate is used.
    constexpr std::size_t minStarts = 3;

}

/// A generation occupies its memory for as long as it runs, so when not all fit, more of them complete if short ones
/// go first. A long one is overtaken only by requests that arrive within its delay, so it is not starved.
bool WaitingQueue::precedes(const WaitingRequest& left, const WaitingRequest& right) const
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    bool leftAboveShare = m_use.isAboveFairShare(left.organisation);
    bool rightAboveShare = m_use.isAboveFairShare(right.organisation);
    if (leftAboveShare != rightAboveShare)
        return rightAboveShare;
    return left.arrivedAt + left.estimate.outputTokens * delayPerOutputToken < right.arrivedAt + right.estimate.outputTokens * delayPerOutputToken;
}

/// More urgent requests that arrive later will also overtake this one, so starts of more urgent requests do not
/// count towards the rate at which requests of this rank start.
Clock::duration WaitingQueue::expectedWait(const WaitingRequest& request, TimePoint now) const
{
    double tokensAhead = 0;
    double tokensAheadOfRank = 0;
    for (const auto& waiting : m_waiting) {
        bool sameClass = waiting.service == request.service && waiting.estimate.isShort() == request.estimate.isShort();
        if (!sameClass || !precedes(waiting, request))
            continue;
        (waiting.rank == request.rank ? tokensAheadOfRank : tokensAhead) += waiting.estimate.totalTokens();
    }
    auto recentStarts = m_recentStarts.find(request.service);
    if (recentStarts == m_recentStarts.end() || tokensAhead + tokensAheadOfRank == 0)
        return {};
    double startedTokens = 0;
    double startedTokensOfRank = 0;
    std::size_t startCount = 0;
    for (const auto& start : recentStarts->second) {
        if (start.at + startWindow < now)
            continue;
        if (start.isShort != request.estimate.isShort())
            continue;
        ++startCount;
        startedTokens += start.tokens;
        if (start.rank >= request.rank)
            startedTokensOfRank += start.tokens;
    }
    if (startCount < minStarts)
        return {};
    double windows = tokensAhead / startedTokens + (tokensAheadOfRank > 0 ? tokensAheadOfRank / std::max(1.0, startedTokensOfRank) : 0);
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
    std::erase_if(m_waiting, [&](const WaitingRequest& waiting) { return waiting.id == id; });
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
            // Smaller requests that overtake a large one would starve it. Short requests form a separate
            // class, since they free their memory before the large one could have used it.
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
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(expired), [&](const WaitingRequest& waiting) { return waiting.latestStart <= now; });
    std::erase_if(m_waiting, [&](const WaitingRequest& waiting) { return waiting.latestStart <= now; });
    return expired;
}

void WaitingQueue::onStarted(const std::string& service, const std::string& organisation, Rank rank, const WorkEstimate& estimate, TimePoint now)
{
    m_use.add(organisation, estimate.totalTokens(), now);
    auto& starts = m_recentStarts[service];
    starts.push_back({ .at = now, .rank = rank, .isShort = estimate.isShort(), .tokens = estimate.totalTokens() });
    while (!starts.empty() && starts.front().at + startWindow < now)
        starts.pop_front();
}

Clock::duration WaitingQueue::startInterval(const std::string& service, bool isShort, TimePoint now) const
{
    auto starts = m_recentStarts.find(service);
    if (starts == m_recentStarts.end())
        return {};
    auto count = std::count_if(starts->second.begin(), starts->second.end(), [&](const StartRecord& start) { return start.isShort == isShort && now <= start.at + startWindow; });
    return count == 0 ? Clock::duration {} : Clock::duration(startWindow) / count;
}

}

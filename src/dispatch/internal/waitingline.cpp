#include "dispatch/waitingline.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Span over which starts are averaged: about half the life of a long generation.
    constexpr auto startWindow = Milliseconds(4000);
    /// Later arrival that one expected output token counts as: generations of the longest kind, some
    /// 2,000 tokens, are passed by short ones for about as long as callers of streams can wait.
    constexpr auto delayOfToken = Microseconds(800);
    /// Starts below which a rate is not trusted.
    constexpr std::size_t fewestStarts = 3;

}

/// Whoever waits beside an organisation that has all of the targets counts as another one.
bool WaitingLine::isAboveShare(const std::string& organisation) const
{
    auto found = m_tokensAtTargets.find(organisation);
    if (found == m_tokensAtTargets.end())
        return false;
    auto organisations = std::max<std::size_t>(2, m_tokensAtTargets.size());
    return found->second * static_cast<double>(organisations) > m_tokensInAll;
}

/// A generation takes its memory for as long as it is long, so where not all can run more of them run
/// if the short ones go first. A long one is passed only by those that arrive within its delay.
bool WaitingLine::before(const WaitingRequest& left, const WaitingRequest& right) const
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    bool leftAbove = isAboveShare(left.organisation);
    bool rightAbove = isAboveShare(right.organisation);
    if (leftAbove != rightAbove)
        return rightAbove;
    return left.arrivedAt + left.estimate.outputTokens * delayOfToken < right.arrivedAt + right.estimate.outputTokens * delayOfToken;
}

/// More urgent requests that arrive later go ahead as well, so each rank is measured by its own starts.
Clock::duration WaitingLine::expectedWait(const WaitingRequest& newcomer, TimePoint now) const
{
    double ahead = 0;
    double aheadOfRank = 0;
    for (const auto& each : m_waiting) {
        bool sameLine = each.service == newcomer.service && each.estimate.isBrief() == newcomer.estimate.isBrief();
        if (!sameLine || !before(each, newcomer))
            continue;
        (each.rank == newcomer.rank ? aheadOfRank : ahead) += each.estimate.totalTokens();
    }
    auto starts = m_started.find(newcomer.service);
    if (starts == m_started.end() || ahead + aheadOfRank == 0)
        return {};
    double started = 0;
    double startedOfRank = 0;
    std::size_t count = 0;
    for (const auto& each : starts->second) {
        if (each.at + startWindow < now)
            continue;
        if (each.brief != newcomer.estimate.isBrief())
            continue;
        ++count;
        started += each.tokens;
        if (each.rank >= newcomer.rank)
            startedOfRank += each.tokens;
    }
    if (count < fewestStarts)
        return {};
    double windows = ahead / started + (aheadOfRank > 0 ? aheadOfRank / std::max(1.0, startedOfRank) : 0);
    constexpr double mostWindows = 10;
    return fromSeconds(std::min(windows, mostWindows) * std::chrono::duration<double>(startWindow).count());
}

WaitVerdict WaitingLine::enqueue(WaitingRequest request, TimePoint now)
{
    auto wait = expectedWait(request, now);
    if (now + wait > request.latestStart)
        return { .accepted = false, .expectedWait = wait };
    m_waiting.push_back(std::move(request));
    return { .accepted = true, .expectedWait = wait };
}

void WaitingLine::remove(WorkId id)
{
    std::erase_if(m_waiting, [&](const WaitingRequest& each) { return each.id == id; });
}

std::optional<WaitingRequest> WaitingLine::takeNext(const std::function<bool(const WaitingRequest&)>& canStart)
{
    std::vector<std::size_t> order(m_waiting.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return before(m_waiting[left], m_waiting[right]); });
    std::set<std::pair<std::string, bool>> blocked;
    for (auto index : order) {
        const auto& request = m_waiting[index];
        std::pair kind(request.service, request.estimate.isBrief());
        if (blocked.count(kind) > 0)
            continue;
        if (!canStart(request)) {
            // Smaller requests that pass a large one would keep it waiting for good; brief ones
            // give their memory back before it could have used it.
            blocked.insert(kind);
            continue;
        }
        auto chosen = m_waiting[index];
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        return chosen;
    }
    return std::nullopt;
}

std::vector<WaitingRequest> WaitingLine::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(expired), [&](const WaitingRequest& each) { return each.latestStart <= now; });
    std::erase_if(m_waiting, [&](const WaitingRequest& each) { return each.latestStart <= now; });
    return expired;
}

void WaitingLine::onStarted(const std::string& service, const std::string& organisation, Rank rank, const WorkEstimate& estimate, TimePoint now)
{
    m_tokensAtTargets[organisation] += estimate.totalTokens();
    m_tokensInAll += estimate.totalTokens();
    auto& started = m_started[service];
    started.push_back({ .at = now, .rank = rank, .brief = estimate.isBrief(), .tokens = estimate.totalTokens() });
    while (!started.empty() && started.front().at + startWindow < now)
        started.pop_front();
}

void WaitingLine::onEnded(const std::string& organisation, const WorkEstimate& estimate)
{
    auto found = m_tokensAtTargets.find(organisation);
    if (found == m_tokensAtTargets.end())
        return;
    found->second -= estimate.totalTokens();
    m_tokensInAll -= estimate.totalTokens();
    if (found->second < 1)
        m_tokensAtTargets.erase(found);
}

}

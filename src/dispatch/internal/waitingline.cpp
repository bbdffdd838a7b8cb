#include "dispatch/waitingline.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Span over which freed memory is averaged: about half the life of a long generation.
    constexpr auto releaseWindow = Milliseconds(4000);
    /// Freed generations below which the rate is not trusted.
    constexpr std::size_t fewestReleases = 3;

}

bool WaitingLine::before(const WaitingRequest& left, const WaitingRequest& right) const
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    auto tokensOf = [&](const std::string& organisation) {
        auto found = m_tokensAtTargets.find(organisation);
        return found == m_tokensAtTargets.end() ? 0.0 : found->second;
    };
    if (left.organisation != right.organisation) {
        auto leftTokens = tokensOf(left.organisation);
        auto rightTokens = tokensOf(right.organisation);
        if (leftTokens != rightTokens)
            return leftTokens < rightTokens;
    }
    return left.arrivedAt < right.arrivedAt;
}

Clock::duration WaitingLine::expectedWait(const std::string& service, int priority, TimePoint now) const
{
    double tokensAhead = 0;
    for (const auto& each : m_waiting) {
        if (each.service == service && each.priority <= priority)
            tokensAhead += each.estimate.totalTokens();
    }
    auto ended = m_ended.find(service);
    if (ended == m_ended.end())
        return {};
    double released = 0;
    std::size_t count = 0;
    for (const auto& each : ended->second) {
        if (each.at + releaseWindow < now)
            continue;
        released += each.tokens;
        ++count;
    }
    if (count < fewestReleases)
        return {};
    return fromSeconds(tokensAhead / released * std::chrono::duration<double>(releaseWindow).count());
}

WaitVerdict WaitingLine::enqueue(WaitingRequest request, TimePoint now)
{
    auto wait = expectedWait(request.service, request.priority, now);
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
    std::set<std::string> blocked;
    for (auto index : order) {
        const auto& request = m_waiting[index];
        if (blocked.count(request.service) > 0)
            continue;
        if (!canStart(request)) {
            // Smaller requests that pass a large one would keep it waiting for good.
            blocked.insert(request.service);
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

void WaitingLine::onStarted(const std::string& organisation, const WorkEstimate& estimate)
{
    m_tokensAtTargets[organisation] += estimate.totalTokens();
}

void WaitingLine::onEnded(const std::string& service, const std::string& organisation, const WorkEstimate& estimate, TimePoint now)
{
    auto found = m_tokensAtTargets.find(organisation);
    if (found != m_tokensAtTargets.end()) {
        found->second -= estimate.totalTokens();
        if (found->second < 1)
            m_tokensAtTargets.erase(found);
    }
    auto& ended = m_ended[service];
    ended.push_back({ .at = now, .tokens = estimate.totalTokens() });
    while (!ended.empty() && ended.front().at + releaseWindow < now)
        ended.pop_front();
}

}

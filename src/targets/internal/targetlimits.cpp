#include "targets/targetlimits.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    /// An instance that holds no share learns from its peers that a limit has ended; this bounds the time
    /// that it waits if those messages are lost.
    constexpr auto limitLifetime = Seconds(30);
    /// Time for which the end of a limit is reported to peers.
    constexpr auto endedLifetime = Seconds(10);
    /// Registrations may be missing for some seconds after an outage of the store.
    constexpr auto instanceLifetime = Seconds(10);
    /// Lowest rate that is kept to, in requests per second. Only an answer shows that a limit has ended.
    constexpr double minRequestsPerSecond = 0.5;
    /// Requests that an instance may send at once after it was idle.
    constexpr double maxTokens = 1;
    /// Time until a target is asked about again by an instance without a share.
    constexpr auto waitWithoutShare = Seconds(2);

    /// Number of instances that share a limit. Each may send one request at once, so a small limit
    /// is shared by few instances.
    std::size_t maxSharers(double requestsPerSecond)
    {
        constexpr double sharersPerRequest = 1.5;
        constexpr std::size_t minSharers = 2;
        return minSharers + static_cast<std::size_t>(std::min(sharersPerRequest * requestsPerSecond, 1e6));
    }

}

TargetLimits::TargetLimits(std::string self)
    : m_self(std::move(self))
{
}

void TargetLimits::onInstances(const std::vector<std::string>& names, TimePoint now)
{
    bool changed = false;
    auto see = [&](const std::string& name) { changed = m_instancesSeenAt.insert_or_assign(name, now).second || changed; };
    see(m_self);
    for (const auto& name : names)
        see(name);
    changed = std::erase_if(m_instancesSeenAt, [&](const auto& entry) { return entry.second + instanceLifetime < now; }) > 0 || changed;
    removeExpired(now);
    for (auto& [target, limit] : m_limits) {
        if (changed && refilledLimit(target, now))
            limit.share = shareOf(target, *limit.requestsPerSecond);
    }
}

void TargetLimits::removeExpired(TimePoint now)
{
    std::erase_if(m_pausedUntil, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(m_limits, [&](const auto& entry) {
        auto lifetime = entry.second.requestsPerSecond ? limitLifetime : endedLifetime;
        return entry.second.statedAt + lifetime < now;
    });
}

void TargetLimits::update(const std::string& target, Limit limit, TimePoint now)
{
    auto found = m_limits.find(target);
    bool known = found != m_limits.end();
    if (known && (limit.targetStartedAt < found->second.targetStartedAt || limit.statedAt < found->second.statedAt))
        return;
    if (!limit.requestsPerSecond && !known)
        return;
    bool sameIncarnation = known && found->second.targetStartedAt == limit.targetStartedAt;
    bool changed = !sameIncarnation || found->second.requestsPerSecond != limit.requestsPerSecond;
    if (!changed)
        limit.share = found->second.share;
    else if (limit.requestsPerSecond)
        limit.share = shareOf(target, *limit.requestsPerSecond);
    if (changed) {
        logEvent(LogLevel::Info, limit.requestsPerSecond ? "target_limit_stated" : "target_limit_ended", { { "target", target }, { "requests_per_s", limit.requestsPerSecond.value_or(0) }, { "share", limit.share }, { "own", limit.own }, { "age_ms", std::chrono::duration_cast<Milliseconds>(now - limit.statedAt).count() } });
    }
    limit.refilledAt = now;
    if (sameIncarnation && found->second.requestsPerSecond) {
        limit.tokens = refilledLimit(target, now)->tokens;
        limit.own = limit.own || found->second.own;
    }
    m_limits.insert_or_assign(target, limit);
}

void TargetLimits::onAnswer(const TargetEntry& target, std::optional<double> requestsPerSecond, TimePoint now)
{
    if (!requestsPerSecond && m_limits.empty())
        return;
    update(target.id, { .targetStartedAt = target.startedAt, .requestsPerSecond = requestsPerSecond, .statedAt = now, .own = true }, now);
}

void TargetLimits::onPeerLimits(const StatedLimits& limits, TimePoint now)
{
    for (const auto& [target, limit] : limits)
        update(target, { .targetStartedAt = limit.targetStartedAt, .requestsPerSecond = limit.requestsPerSecond, .statedAt = now - limit.age }, now);
}

StatedLimits TargetLimits::ownLimits(TimePoint now) const
{
    StatedLimits limits;
    for (const auto& [target, limit] : m_limits) {
        if (limit.own)
            limits.emplace(target, StatedLimit { .targetStartedAt = limit.targetStartedAt, .requestsPerSecond = limit.requestsPerSecond, .age = std::chrono::duration_cast<Milliseconds>(now - limit.statedAt) });
    }
    return limits;
}

double TargetLimits::shareOf(const std::string& target, double requestsPerSecond) const
{
    auto rate = std::max(requestsPerSecond, minRequestsPerSecond);
    auto instances = m_instancesSeenAt.size();
    // A process that knows no instances yet is not alone; it expects as many as may share the limit.
    auto sharers = instances == 0 ? maxSharers(requestsPerSecond) : std::min(instances, maxSharers(requestsPerSecond));
    if (sharers < instances) {
        auto ownWeight = rendezvousWeight(m_self, target);
        auto ahead = std::count_if(m_instancesSeenAt.begin(), m_instancesSeenAt.end(), [&](const auto& entry) { return rendezvousWeight(entry.first, target) > ownWeight; });
        if (static_cast<std::size_t>(ahead) >= sharers)
            return 0;
    }
    return rate / static_cast<double>(sharers);
}

TargetLimits::Limit* TargetLimits::refilledLimit(const std::string& target, TimePoint now)
{
    auto found = m_limits.find(target);
    if (found == m_limits.end() || !found->second.requestsPerSecond)
        return nullptr;
    auto& limit = found->second;
    limit.tokens = std::min(maxTokens, limit.tokens + limit.share * secondsBetween(limit.refilledAt, now));
    limit.refilledAt = now;
    return &limit;
}

void TargetLimits::onPauseRequested(const TargetEntry& target, Clock::duration duration, TimePoint now)
{
    if (duration <= Clock::duration::zero())
        return;
    logEvent(LogLevel::Info, "target_pause_requested", { { "target", target.id }, { "pause_ms", std::chrono::duration_cast<Milliseconds>(duration).count() } });
    auto& until = m_pausedUntil[target.id];
    until = std::max(until, now + duration);
}

void TargetLimits::onTargetGone(const std::string& target)
{
    m_limits.erase(target);
    m_pausedUntil.erase(target);
}

Clock::duration TargetLimits::waitTime(const std::string& target, TimePoint now)
{
    auto paused = m_pausedUntil.find(target);
    if (paused != m_pausedUntil.end() && paused->second > now)
        return paused->second - now;
    auto* limit = refilledLimit(target, now);
    if (!limit || limit->tokens >= 1)
        return Clock::duration::zero();
    return limit->share > 0 ? fromSeconds((1 - limit->tokens) / limit->share) : Clock::duration(waitWithoutShare);
}

bool TargetLimits::tryTake(const TargetEntry& target, TimePoint now)
{
    if (waitTime(target.id, now) > Clock::duration::zero())
        return false;
    take(target, now);
    return true;
}

void TargetLimits::take(const TargetEntry& target, TimePoint now)
{
    if (auto* limit = refilledLimit(target.id, now))
        limit->tokens -= 1;
}

std::set<std::string> TargetLimits::exhaustedTargets(TimePoint now)
{
    std::set<std::string> exhausted;
    for (const auto& [target, limit] : m_limits) {
        if (waitTime(target, now) > Clock::duration::zero())
            exhausted.insert(target);
    }
    for (const auto& [target, until] : m_pausedUntil) {
        if (until > now)
            exhausted.insert(target);
    }
    return exhausted;
}

}

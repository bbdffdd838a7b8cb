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
    /// Time until a target is asked about again by an instance without a share.
    constexpr auto waitWithoutShare = Seconds(2);
    /// An entry takes at most this time to reach an instance, so an answer may be more recent than an entry that arrives
    /// within this time after it.
    constexpr auto maxEntryDelay = Seconds(2);

    /// Number of the given instances that precede this one in the order of those that get a share.
    template <typename Instances, typename NameOf>
    std::size_t instancesAhead(const std::string& self, const std::string& target, const Instances& instances, NameOf nameOf)
    {
        auto ownWeight = rendezvousWeight(self, target);
        auto ahead = std::count_if(instances.begin(), instances.end(), [&](const auto& instance) { return rendezvousWeight(nameOf(instance), target) > ownWeight; });
        return static_cast<std::size_t>(ahead);
    }

    /// Number of instances that share a limit. Each may send one request at once, so a small limit
    /// is shared by few instances.
    std::size_t maxSharers(double requestsPerSecond)
    {
        constexpr double sharersPerRequest = 1.5;
        constexpr std::size_t minSharers = 2;
        return minSharers + static_cast<std::size_t>(std::min(sharersPerRequest * requestsPerSecond, 1e6));
    }

}

TargetLimits::TargetLimits(std::string self, ColdBounds coldBounds)
    : m_self(std::move(self))
    , m_coldBounds(coldBounds)
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
            limit.bucket.share = shareOf(target, *limit.requestsPerSecond);
    }
}

void TargetLimits::removeExpired(TimePoint now)
{
    std::erase_if(m_pausedUntil, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(m_coldTargets, [&](const auto& entry) { return entry.second.until <= now; });
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
        limit.bucket.share = found->second.bucket.share;
    else if (limit.requestsPerSecond)
        limit.bucket.share = shareOf(target, *limit.requestsPerSecond);
    if (changed) {
        logEvent(LogLevel::Info, limit.requestsPerSecond ? "target_limit_stated" : "target_limit_ended", { { "target", target }, { "requests_per_s", limit.requestsPerSecond.value_or(0) }, { "share", limit.bucket.share }, { "own", limit.own }, { "age_ms", std::chrono::duration_cast<Milliseconds>(now - limit.statedAt).count() } });
    }
    limit.bucket.refilledAt = now;
    if (sameIncarnation && found->second.requestsPerSecond) {
        limit.bucket.tokens = refilledLimit(target, now)->bucket.tokens;
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
    if (sharers < instances && instancesAhead(m_self, target, m_instancesSeenAt, [](const auto& entry) -> const std::string& { return entry.first; }) >= sharers)
        return 0;
    return rate / static_cast<double>(sharers);
}

TargetLimits::Limit* TargetLimits::refilledLimit(const std::string& target, TimePoint now)
{
    auto found = m_limits.find(target);
    if (found == m_limits.end() || !found->second.requestsPerSecond)
        return nullptr;
    found->second.bucket.refill(now);
    return &found->second;
}

void TargetLimits::setColdServices(std::map<std::string, double> requestsPerSecond, TimePoint now)
{
    m_coldServices = std::move(requestsPerSecond);
    updateColdShares(now);
}

void TargetLimits::setPooledServices(std::set<std::string> services, TimePoint now)
{
    m_pooledServices = std::move(services);
    updateColdShares(now);
}

void TargetLimits::onColdSharers(std::optional<ColdSharers> sharers, TimePoint now)
{
    removeExpired(now);
    if (sharers == m_coldSharers)
        return;
    m_coldSharers = std::move(sharers);
    updateColdShares(now);
}

void TargetLimits::updateColdShares(TimePoint now)
{
    for (auto& [target, cold] : m_coldTargets) {
        cold.bucket.refill(now);
        updateColdShare(target, cold);
    }
}

// Instances with current views are in each other's views. Each one with a share has fewer names ahead of it than there are shares, so
// no more instances than shares have one, however the views differ. Additional names only make shares smaller.
void TargetLimits::updateColdShare(const std::string& target, ColdTarget& cold) const
{
    cold.bucket.share = 0;
    auto service = m_coldServices.find(cold.service);
    cold.limited = service != m_coldServices.end();
    cold.pooled = m_pooledServices.contains(cold.service);
    cold.bucket.capacity = 1;
    if (!cold.limited || !m_coldSharers)
        return;
    ColdBudget budget(service->second, m_coldBounds);
    if (cold.pooled && !m_coldSharers->outdated) {
        // An instance that cannot reach the owner leaves cold targets to it.
        if (m_coldSharers->ownedPools.contains(cold.service)) {
            cold.bucket.share = budget.placementRate();
            cold.bucket.capacity = budget.placementBurst();
        }
        return;
    }
    auto instances = m_coldSharers->instances.size();
    auto shares = m_coldSharers->outdated ? budget.reserveSharers() : budget.sharers(instances);
    auto ahead = instancesAhead(m_self, target, m_coldSharers->instances, [](const std::string& name) -> const std::string& { return name; });
    if (ahead < shares)
        cold.bucket.share = m_coldSharers->outdated ? budget.reserveShare() : budget.share(instances);
}

void TargetLimits::onEntry(const TargetEntry& target, TimePoint now)
{
    auto found = m_coldTargets.find(target.id);
    bool sameIncarnation = found != m_coldTargets.end() && found->second.targetStartedAt == target.startedAt;
    if (sameIncarnation) {
        auto& cold = found->second;
        if (target.sequence < cold.sequence || (target.sequence == cold.sequence && cold.answeredAt))
            return;
        bool answerMayBeNewer = cold.answeredAt && now < *cold.answeredAt + maxEntryDelay && now + target.warmUpRemaining < cold.until;
        if (answerMayBeNewer)
            return;
    }
    setCold(target, target.warmUpRemaining, false, now);
}

void TargetLimits::onWarmUpAnswer(const TargetEntry& target, Milliseconds remaining, TimePoint now)
{
    setCold(target, remaining, true, now);
}

/// A target that has just become cold starts with an empty bucket, so it does not matter what was sent before.
void TargetLimits::setCold(const TargetEntry& target, Milliseconds remaining, bool answered, TimePoint now)
{
    auto found = m_coldTargets.find(target.id);
    if (found != m_coldTargets.end() && target.startedAt < found->second.targetStartedAt)
        return;
    if (remaining.count() <= 0) {
        if (found != m_coldTargets.end())
            m_coldTargets.erase(found);
        return;
    }
    bool isNew = found == m_coldTargets.end() || found->second.targetStartedAt != target.startedAt || found->second.until <= now;
    auto& cold = m_coldTargets[target.id];
    if (isNew) {
        cold = { .service = target.service, .targetStartedAt = target.startedAt, .sequence = target.sequence, .bucket = { .refilledAt = now } };
        updateColdShare(target.id, cold);
        if (cold.limited)
            logEvent(LogLevel::Info, "target_cold", { { "target", target.id }, { "remaining_ms", remaining.count() }, { "share", cold.bucket.share }, { "from_answer", answered } });
    }
    cold.sequence = std::max(cold.sequence, target.sequence);
    cold.until = now + remaining;
    if (answered)
        cold.answeredAt = now;
}

bool TargetLimits::applies(const ColdTarget& cold, TimePoint now)
{
    return cold.limited && cold.until > now;
}

TargetLimits::ColdTarget* TargetLimits::refilledColdTarget(const std::string& target, bool pooled, TimePoint now)
{
    auto found = m_coldTargets.find(target);
    if (found == m_coldTargets.end() || !applies(found->second, now) || found->second.pooled != pooled)
        return nullptr;
    found->second.bucket.refill(now);
    return &found->second;
}

Clock::duration TargetLimits::coldWaitTime(const std::string& target, TimePoint now)
{
    auto* cold = refilledColdTarget(target, false, now);
    if (!cold)
        return Clock::duration::zero();
    return std::min(cold->bucket.waitTime().value_or(waitWithoutShare), cold->until - now);
}

std::size_t TargetLimits::coldTargets(TimePoint now) const
{
    auto count = std::count_if(m_coldTargets.begin(), m_coldTargets.end(), [&](const auto& entry) { return applies(entry.second, now); });
    return static_cast<std::size_t>(count);
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
    m_coldTargets.erase(target);
    m_pausedUntil.erase(target);
}

Clock::duration TargetLimits::waitTime(const std::string& target, TimePoint now)
{
    auto paused = m_pausedUntil.find(target);
    if (paused != m_pausedUntil.end() && paused->second > now)
        return paused->second - now;
    auto coldWait = coldWaitTime(target, now);
    auto* limit = refilledLimit(target, now);
    return limit ? std::max(coldWait, limit->bucket.waitTime().value_or(waitWithoutShare)) : coldWait;
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
        limit->bucket.tokens -= 1;
    if (auto* cold = refilledColdTarget(target.id, false, now))
        cold->bucket.tokens -= 1;
}

std::set<std::string> TargetLimits::exhaustedForPlacement(TimePoint now)
{
    std::set<std::string> exhausted;
    for (const auto& [target, entry] : m_coldTargets) {
        auto* cold = refilledColdTarget(target, true, now);
        if (cold && cold->bucket.tokens < 1)
            exhausted.insert(target);
    }
    return exhausted;
}

void TargetLimits::onPlaced(const std::string& target, TimePoint now)
{
    if (auto* cold = refilledColdTarget(target, true, now))
        cold->bucket.tokens -= 1;
}

std::set<std::string> TargetLimits::exhaustedTargets(TimePoint now)
{
    std::set<std::string> exhausted;
    for (const auto& [target, limit] : m_limits) {
        if (waitTime(target, now) > Clock::duration::zero())
            exhausted.insert(target);
    }
    for (const auto& [target, cold] : m_coldTargets) {
        if (coldWaitTime(target, now) > Clock::duration::zero())
            exhausted.insert(target);
    }
    for (const auto& [target, until] : m_pausedUntil) {
        if (until > now)
            exhausted.insert(target);
    }
    return exhausted;
}

}

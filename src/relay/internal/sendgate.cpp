#include "relay/sendgate.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Placements on targets that reached their limits meanwhile, after which a request is refused.
    constexpr int maxLimitConflicts = 3;

}

SendGate::SendGate(SendGateContext context, std::string service, Fingerprint fingerprint)
    : m_context(context)
    , m_service(std::move(service))
    , m_fingerprint(fingerprint)
{
}

/// Time until a target of the service takes a request again, if all have reached their limits.
std::optional<Clock::duration> SendGate::waitIfAllLimited(TimePoint now)
{
    if (m_context.targetLimits.empty())
        return std::nullopt;
    auto targets = m_context.directory.usableTargets(m_service);
    auto shortest = Clock::duration::max();
    for (const auto* target : targets)
        shortest = std::min(shortest, m_context.targetLimits.waitTime(target->id, now));
    bool allLimited = !targets.empty() && shortest > Clock::duration::zero();
    if (allLimited || m_limitConflicts > maxLimitConflicts)
        return targets.empty() ? Clock::duration::zero() : shortest;
    return std::nullopt;
}

std::optional<SendRefusal> SendGate::refusal()
{
    auto now = Clock::now();
    if (auto delay = m_context.crashGuard.retryDelayIfRefused(m_fingerprint, now))
        return SendRefusal { .reason = "crashes_targets", .retryAfter = *delay };
    if (auto wait = waitIfAllLimited(now))
        return SendRefusal { .reason = "targets_limited", .retryAfter = m_context.dispatcher.jitteredRetryDelay(*wait) };
    return std::nullopt;
}

std::set<std::string> SendGate::excludedTargets()
{
    auto excluded = m_context.targetLimits.exhaustedTargets(Clock::now());
    excluded.insert(m_triedTargets.begin(), m_triedTargets.end());
    return excluded;
}

bool SendGate::tryClaim(const TargetEntry& target)
{
    auto now = Clock::now();
    if (m_context.crashGuard.retryDelayIfRefused(m_fingerprint, now))
        return false;
    if (m_context.targetLimits.tryTake(target, now))
        return true;
    ++m_limitConflicts;
    return false;
}

}

#include "relay/sendgate.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <utility>

namespace guavaspan {

namespace {

    /// Placements on targets that reached their limits meanwhile, after which a request is refused.
    constexpr int maxLimitConflicts = 3;
    /// Retry delay of a request with a part of a prompt that crashes targets.
    constexpr auto retryDelayPromptPart = Seconds(60);
    /// Trials of requests that crash nothing take as long as the requests; longer ones hold up the others.
    constexpr auto minTrialWait = Milliseconds(500);
    constexpr auto retryDelayTrial = Seconds(1);

}

SendGate::SendGate(SendGateContext context, std::string service, Fingerprint fingerprint, std::vector<PromptPart> promptParts, Clock::duration latencyObjective)
    : m_context(context)
    , m_service(std::move(service))
    , m_fingerprint(fingerprint)
    , m_promptParts(std::move(promptParts))
    , m_maxTrialWait(std::max<Clock::duration>(minTrialWait, latencyObjective / 2))
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

std::optional<SendRefusal> SendGate::crashRefusal() const
{
    auto now = Clock::now();
    if (auto delay = m_context.crashGuard.retryDelayIfRefused(m_fingerprint, now))
        return SendRefusal { .reason = "crashes_targets", .retryAfter = *delay };
    if (m_context.promptGuard.refusedPart(m_promptParts, now))
        return SendRefusal { .reason = "prompt_part_crashes_targets", .retryAfter = retryDelayPromptPart };
    return std::nullopt;
}

std::optional<SendRefusal> SendGate::evacuationRefusal() const
{
    if (!m_context.directory.allEvacuated(m_service))
        return std::nullopt;
    return SendRefusal { .reason = "domains_evacuated", .retryAfter = m_context.dispatcher.retryAfterEvacuation() };
}

std::optional<SendRefusal> SendGate::refusal()
{
    auto now = Clock::now();
    if (!m_context.crashGuard.awaitsTrialResult(m_fingerprint, now)) {
        if (auto refused = crashRefusal())
            return refused;
    }
    if (auto refused = evacuationRefusal())
        return refused;
    if (m_waitsForTrialSince && *m_waitsForTrialSince + m_maxTrialWait < now && needsTrial())
        return SendRefusal { .reason = "suspect_on_trial", .retryAfter = m_context.dispatcher.jitteredRetryDelay(retryDelayTrial) };
    if (auto wait = waitIfAllLimited(now))
        return SendRefusal { .reason = "targets_limited", .retryAfter = m_context.dispatcher.jitteredRetryDelay(*wait) };
    return std::nullopt;
}

std::set<std::string> SendGate::excludedTargets()
{
    auto now = Clock::now();
    auto excluded = m_context.targetLimits.exhaustedTargets(now);
    excluded.insert(m_triedTargets.begin(), m_triedTargets.end());
    // The pool's owner may not know of an evacuation yet. Later on it does, and queries need not name all targets of the domain.
    excluded.merge(m_context.directory.lateEvacuatedTargets(m_service, now));
    auto targetOnTrial = std::exchange(m_targetOnTrial, std::nullopt);
    if (!targetOnTrial)
        return excluded;
    auto usable = m_context.directory.usableTargets(m_service);
    bool othersLeft = std::any_of(usable.begin(), usable.end(), [&](const auto* target) { return target->id != *targetOnTrial && !excluded.contains(target->id); });
    if (othersLeft)
        excluded.insert(*targetOnTrial);
    return excluded;
}

std::vector<Suspect> SendGate::suspects() const
{
    auto suspects = m_context.promptGuard.partsThatNeedTrial(m_promptParts);
    if (m_context.crashGuard.needsTrial(m_fingerprint))
        suspects.push_back(m_fingerprint);
    return suspects;
}

/// A target that has crashed already would break the trial too. Entries of targets that are gone may have the address of a new one.
bool SendGate::mayHaveCrashed(const TargetEntry& target) const
{
    auto now = Clock::now();
    auto usable = m_context.directory.usableTargets();
    return m_context.crashGuard.mayHaveCrashed(target, now) || std::any_of(usable.begin(), usable.end(), [&](const auto* other) { return other->endpoint == target.endpoint && m_context.crashGuard.mayHaveCrashed(*other, now); });
}

Awaitable<bool> SendGate::startTrial(std::uint64_t number, const TargetEntry& target)
{
    endTrial(TrialEnd::Answered);
    auto suspects = this->suspects();
    bool awaitsResult = crashRefusal().has_value();
    auto decision = awaitsResult ? TrialDecision::SuspectOnTrial : TrialDecision::TargetOnTrial;
    if (!awaitsResult && !mayHaveCrashed(target)) {
        Trial trial { .suspects = std::move(suspects), .target = target.id };
        decision = co_await m_context.trials.start(number, m_service, std::move(trial), m_lifetime);
    }
    if (decision == TrialDecision::Granted) {
        m_trial = number;
        logEvent(LogLevel::Info, "trial", { { "trial", std::int64_t(number) }, { "fingerprint", hexOf(m_fingerprint) }, { "service", m_service }, { "target", target.id }, { "waited_ms", m_waitsForTrialSince ? std::chrono::duration_cast<Milliseconds>(Clock::now() - *m_waitsForTrialSince).count() : 0 } });
        m_waitsForTrialSince.reset();
        co_return true;
    }
    if (decision == TrialDecision::TargetOnTrial)
        m_targetOnTrial = target.id;
    if (!m_waitsForTrialSince) {
        m_waitsForTrialSince = Clock::now();
        logEvent(LogLevel::Info, "trial_awaited", { { "fingerprint", hexOf(m_fingerprint) }, { "service", m_service }, { "target", target.id }, { "cause", std::string(decision == TrialDecision::TargetOnTrial ? "target" : "suspect") } });
    }
    co_return false;
}

void SendGate::endTrial(TrialEnd end)
{
    if (m_trial)
        m_context.trials.end(*m_trial, end);
    m_trial.reset();
}

bool SendGate::tryClaim(const TargetEntry& target)
{
    if (crashRefusal() || (!m_trial && needsTrial()) || m_context.directory.isEvacuated(target))
        return false;
    if (m_context.targetLimits.tryTake(target, Clock::now()))
        return true;
    ++m_limitConflicts;
    return false;
}

}

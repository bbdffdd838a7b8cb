#include "quarantine/crashguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// The entry of a crashed target lapses some seconds after it, and a restarted one shows sooner.
    constexpr auto interruptionLifetime = Seconds(8);
    /// Targets that crash together do so of another cause: their crashes count as one.
    constexpr auto incidentWindow = Seconds(1);
    /// Crashes after which a request is refused. Many callers may want the same, and it then runs on
    /// several targets at any moment, so two may be chance.
    constexpr int crashesToConvict = 3;

}

CrashGuard::CrashGuard(Broadcaster broadcast)
    : m_broadcast(std::move(broadcast))
    , m_quarantine(QuarantineOptions { .crashThreshold = crashesToConvict })
{
}

void CrashGuard::removeExpired(TimePoint now)
{
    std::erase_if(m_interrupted, [&](const InterruptedRequest& each) { return each.at + interruptionLifetime < now; });
    std::erase_if(m_lastCrash, [&](const auto& each) { return each.second + incidentWindow < now; });
}

bool CrashGuard::recordCrash(const CrashReport& report, TimePoint now)
{
    removeExpired(now);
    return m_lastCrash.emplace(report.fingerprint, now).second && m_quarantine.onCrash(report, now);
}

void CrashGuard::onCrash(const InterruptedRequest& interrupted, TimePoint now)
{
    CrashReport report { .fingerprint = interrupted.fingerprint, .target = interrupted.target, .incarnation = std::to_string(interrupted.startedAt) };
    if (!recordCrash(report, now))
        return;
    logEvent(LogLevel::Info, "request_suspected", { { "fingerprint", hexOf(interrupted.fingerprint) }, { "target", interrupted.target } });
    m_broadcast(report);
    convictIfProven(interrupted.fingerprint, interrupted.target, now);
}

void CrashGuard::convictIfProven(Fingerprint fingerprint, const std::string& target, TimePoint now)
{
    if (m_quarantine.standing(fingerprint, now) != Standing::Convicted || !m_quarantine.convict(fingerprint, now))
        return;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(fingerprint) }, { "target", target } });
    m_broadcast(ConvictionNotice { .fingerprint = fingerprint });
}

void CrashGuard::onAnswerInterrupted(Fingerprint fingerprint, const TargetEntry& target, TimePoint now)
{
    removeExpired(now);
    m_interrupted.push_back({ .fingerprint = fingerprint, .target = target.id, .startedAt = target.startedAt, .at = now });
}

/// A target that announced its leave, or whose entry went first, ends its runs without having crashed.
void CrashGuard::onTargetLeft(const TargetUnavailable& left)
{
    if (left.reason != UnavailableReason::EntryRemoved && left.reason != UnavailableReason::Restarted)
        return;
    removeExpired(left.at);
    auto ranOnTarget = [&](const InterruptedRequest& each) { return each.target == left.entry.id && each.startedAt == left.entry.startedAt; };
    std::vector<InterruptedRequest> interruptedOnTarget;
    std::copy_if(m_interrupted.begin(), m_interrupted.end(), std::back_inserter(interruptedOnTarget), ranOnTarget);
    std::erase_if(m_interrupted, ranOnTarget);
    for (const auto& each : interruptedOnTarget)
        onCrash(each, left.at);
}

void CrashGuard::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    if (m_quarantine.onCompleted(fingerprint, now))
        m_broadcast(CompletionReport { .fingerprint = fingerprint });
}

void CrashGuard::onPeerMessage(const QuarantineMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const CrashReport& each) {
                       if (recordCrash(each, now))
                           convictIfProven(each.fingerprint, each.target, now);
                   },
                   [&](const CompletionReport& each) { m_quarantine.onCompleted(each.fingerprint, now); },
                   [&](const ConvictionNotice& each) { m_quarantine.convict(each.fingerprint, now); },
                   [&](const PardonNotice& each) { m_quarantine.pardon(each.fingerprint); },
               },
        message);
}

bool CrashGuard::refuses(Fingerprint fingerprint, TimePoint now) const
{
    return m_quarantine.standing(fingerprint, now) == Standing::Convicted;
}

}

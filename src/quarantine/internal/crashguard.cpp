#include "quarantine/crashguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// The entry of a crashed target expires some seconds after the crash; a restarted target is
    /// noticed sooner.
    constexpr auto interruptionLifetime = Seconds(8);
    /// Targets that crash together are assumed to share a cause other than the request, so crashes
    /// within this time count as one.
    constexpr auto incidentWindow = Seconds(1);
    /// Crashes after which a request is refused. If many callers send the same request, it runs on
    /// several targets at any time, so two crashes may be a coincidence.
    constexpr int crashesToConvict = 3;

}

CrashGuard::CrashGuard(Broadcaster broadcast)
    : m_broadcast(std::move(broadcast))
    , m_quarantine(QuarantineOptions { .crashThreshold = crashesToConvict })
{
}

void CrashGuard::removeExpired(TimePoint now)
{
    std::erase_if(m_interrupted, [&](const InterruptedRequest& interrupted) { return interrupted.at + interruptionLifetime < now; });
    std::erase_if(m_lastCrash, [&](const auto& entry) { return entry.second + incidentWindow < now; });
}

bool CrashGuard::recordCrash(const CrashReport& report, TimePoint now)
{
    removeExpired(now);
    bool sameIncident = !m_lastCrash.emplace(report.fingerprint, now).second;
    bool counted = !sameIncident && m_quarantine.onCrash(report, now);
    ++(counted ? m_statistics.countedCrashes : m_statistics.uncountedCrashes);
    const char* result = counted ? "counted" : sameIncident ? "same_incident"
                                                            : "already_counted";
    logEvent(LogLevel::Info, "request_crash", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target }, { "incarnation", report.incarnation }, { "result", std::string(result) }, { "crashes", std::int64_t(m_quarantine.crashCount(report.fingerprint)) } });
    return counted;
}

void CrashGuard::onCrash(const InterruptedRequest& interrupted, TimePoint now)
{
    CrashReport report { .fingerprint = interrupted.fingerprint, .target = interrupted.target, .incarnation = std::to_string(interrupted.startedAt) };
    if (!recordCrash(report, now))
        return;
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
    ++m_statistics.interruptedAnswers;
    logEvent(LogLevel::Info, "answer_interrupted", { { "fingerprint", hexOf(fingerprint) }, { "target", target.id }, { "incarnation", std::to_string(target.startedAt) } });
    m_interrupted.push_back({ .fingerprint = fingerprint, .target = target.id, .startedAt = target.startedAt, .at = now });
}

/// Counts a crash only if the target gave no shutdown notice and its entry disappeared after the
/// answer was interrupted; otherwise the target shut down without a crash.
void CrashGuard::onTargetUnavailable(const TargetUnavailable& event)
{
    if (event.reason != UnavailableReason::EntryRemoved && event.reason != UnavailableReason::Restarted)
        return;
    removeExpired(event.at);
    auto ranOnTarget = [&](const InterruptedRequest& interrupted) { return interrupted.target == event.entry.id && interrupted.startedAt == event.entry.startedAt; };
    std::vector<InterruptedRequest> interruptedOnTarget;
    std::copy_if(m_interrupted.begin(), m_interrupted.end(), std::back_inserter(interruptedOnTarget), ranOnTarget);
    std::erase_if(m_interrupted, ranOnTarget);
    for (const auto& interrupted : interruptedOnTarget)
        onCrash(interrupted, event.at);
}

void CrashGuard::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    if (!m_quarantine.onCompleted(fingerprint, now))
        return;
    logEvent(LogLevel::Info, "request_cleared", { { "fingerprint", hexOf(fingerprint) } });
    m_broadcast(CompletionReport { .fingerprint = fingerprint });
}

void CrashGuard::onPeerMessage(const QuarantineMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const CrashReport& report) {
                       if (recordCrash(report, now))
                           convictIfProven(report.fingerprint, report.target, now);
                   },
                   [&](const CompletionReport& report) { m_quarantine.onCompleted(report.fingerprint, now); },
                   [&](const ConvictionNotice& notice) { m_quarantine.convict(notice.fingerprint, now); },
                   [&](const PardonNotice& notice) { m_quarantine.pardon(notice.fingerprint); },
               },
        message);
}

bool CrashGuard::refuses(Fingerprint fingerprint, TimePoint now) const
{
    return m_quarantine.standing(fingerprint, now) == Standing::Convicted;
}

}

#include "quarantine/crashguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>
#include <charconv>

namespace guavaspan {

namespace {

    /// Crashes after which a request is refused. If many callers send the same request, it runs on
    /// several targets at any time, so two crashes may be a coincidence.
    constexpr std::size_t crashesToConvict = 3;
    /// Crashes after which a request is refused even if another one may have caused them, since
    /// every further run may cost a target.
    constexpr std::size_t crashesToConvictRegardless = crashesToConvict + 1;
    /// Crashes after which a request is refused that was answered before. A request that many callers send is
    /// interrupted by most crashes, whatever their cause.
    constexpr std::size_t crashesToConvictCompleted = 10;
    /// Crashes from which a request's reports are kept in the shared store. Most requests that run on a
    /// crashing target never meet a second crash.
    constexpr std::size_t crashesToRecord = 2;
    /// A shorter silence before the end of an attempt says nothing about the target.
    constexpr auto minSilence = Milliseconds(250);
    /// The entry of a crashed target expires after three missed heartbeats; a target whose entry was
    /// removed for another reason is heard until then.
    constexpr auto minSilenceBeforeRemoval = Milliseconds(1500);
    constexpr auto unavailableTargetLifetime = Seconds(60);
    /// Records of requests that are not convicted.
    constexpr auto suspicionLifetime = std::chrono::minutes(30);
    /// Time between notices to peers that a request was answered before.
    constexpr auto notificationInterval = Seconds(5);
    constexpr auto repetitionInterval = Seconds(1);
    /// Time after a crash in which its reports are repeated.
    constexpr auto repetitionDuration = Seconds(10);
    /// Retry delay while it is not known whether targets have crashed: their entries expire in this time.
    constexpr auto retryDelayUnconfirmed = Seconds(5);
    /// Retry delay of a convicted request; operators have to examine it first.
    constexpr auto retryDelayConvicted = Seconds(60);

    TargetIncarnation incarnationOf(const TargetEntry& target)
    {
        return { .target = target.id, .startedAt = target.startedAt };
    }

    CrashReport reportOf(Fingerprint fingerprint, const TargetIncarnation& target)
    {
        return { .fingerprint = fingerprint, .target = target.target, .incarnation = std::to_string(target.startedAt) };
    }

    Milliseconds elapsed(TimePoint from, TimePoint to)
    {
        return std::chrono::duration_cast<Milliseconds>(to - from);
    }

}

CrashGuard::CrashGuard(Broadcaster broadcast, Recorder recordInStore)
    : m_broadcast(std::move(broadcast))
    , m_recordInStore(std::move(recordInStore))
    , m_quarantine(QuarantineOptions { .crashThreshold = crashesToConvict, .suspicionDuration = suspicionLifetime })
{
}

void CrashGuard::removeExpired(TimePoint now)
{
    for (auto& [fingerprint, interruptions] : m_interruptions)
        interruptions.removeExpired(now);
    std::erase_if(m_interruptions, [](const auto& entry) { return entry.second.empty(); });
    if (m_interruptions.empty())
        m_unclearTargets.clear();
    std::erase_if(m_unavailableTargets, [&](const auto& entry) { return entry.second.at + unavailableTargetLifetime < now; });
    std::erase_if(m_notifiedAt, [&](const auto& entry) { return entry.second + notificationInterval < now; });
    std::erase_if(m_crashes, [&](const auto& entry) { return entry.second.lastCrashAt + suspicionLifetime < now; });
}

/// A target that was silent well before its entry was removed has crashed; one that was heard until then
/// was told to leave and ended its running requests when it shut down.
bool CrashGuard::crashedBeforeRemoval(const UnansweredAttempt& attempt, const UnavailableTarget& unavailable) const
{
    return !unavailable.announced && attempt.lastHeardAt + minSilenceBeforeRemoval <= unavailable.at;
}

void CrashGuard::onUnanswered(const UnansweredAttempt& attempt, TimePoint now)
{
    auto target = incarnationOf(attempt.target);
    if (attempt.abandoned && now - attempt.lastHeardAt < minSilence)
        return;
    auto unavailable = m_unavailableTargets.find(target);
    bool crashed = unavailable != m_unavailableTargets.end() && crashedBeforeRemoval(attempt, unavailable->second);
    bool counts = unavailable == m_unavailableTargets.end() || crashed;
    ++m_statistics.interruptedAnswers;
    logEvent(LogLevel::Info, "answer_interrupted", { { "fingerprint", hexOf(attempt.fingerprint) }, { "target", target.target }, { "incarnation", std::to_string(target.startedAt) }, { "abandoned", attempt.abandoned }, { "silent_ms", elapsed(attempt.lastHeardAt, now).count() }, { "counts", counts } });
    if (!counts)
        return;
    addInterruption(attempt.fingerprint, { .target = target, .sentAt = attempt.sentAt, .endedAt = now, .abandoned = attempt.abandoned, .local = true }, now);
    if (!attempt.abandoned)
        m_broadcast(InterruptionReport { .fingerprint = attempt.fingerprint, .target = target.target, .targetStartedAt = target.startedAt, .sentAgo = elapsed(attempt.sentAt, now), .interruptedAgo = Milliseconds(0) });
    if (crashed)
        confirm(attempt.fingerprint, target, now);
}

void CrashGuard::addInterruption(Fingerprint fingerprint, Interruption interruption, TimePoint now)
{
    removeExpired(now);
    auto target = interruption.target;
    if (m_interruptions[fingerprint].add(std::move(interruption)))
        m_unclearTargets.insert(target);
    if (isSuspended(fingerprint))
        logEvent(LogLevel::Warning, "request_suspended", { { "fingerprint", hexOf(fingerprint) }, { "target", target.target } });
}

void CrashGuard::onTargetAnswered(const TargetEntry& target, TimePoint sentAt)
{
    if (m_unclearTargets.empty())
        return;
    auto incarnation = incarnationOf(target);
    if (!m_unclearTargets.contains(incarnation))
        return;
    bool isUnclear = false;
    for (auto& [fingerprint, interruptions] : m_interruptions) {
        interruptions.onAlive(incarnation, sentAt);
        isUnclear = isUnclear || interruptions.find(incarnation);
    }
    if (!isUnclear)
        m_unclearTargets.erase(incarnation);
}

void CrashGuard::onTargetUnavailable(const TargetUnavailable& event)
{
    auto target = incarnationOf(event.entry);
    bool announced = event.reason == UnavailableReason::Announced || event.reason == UnavailableReason::AskedTarget;
    m_unavailableTargets.insert_or_assign(target, UnavailableTarget { .announced = announced, .at = event.at });
    removeExpired(event.at);
    m_unclearTargets.erase(target);
    // A peer's answer to a broadcast may clear requests, so they are not confirmed while iterating.
    std::vector<Fingerprint> crashed;
    for (auto& [fingerprint, interruptions] : m_interruptions) {
        if (announced)
            interruptions.onAlive(target, event.at);
        else if (interruptions.find(target))
            crashed.push_back(fingerprint);
    }
    for (auto fingerprint : crashed)
        confirm(fingerprint, target, event.at);
}

/// Counts the crash of a target for a request, unless an earlier crash may have had the same cause.
void CrashGuard::confirm(Fingerprint fingerprint, const TargetIncarnation& target, TimePoint now)
{
    auto interruptions = m_interruptions.find(fingerprint);
    auto* interruption = interruptions == m_interruptions.end() ? nullptr : interruptions->second.find(target);
    if (!interruption || interruption->confirmed)
        return;
    auto incidentsBefore = interruptions->second.confirmedIncidents();
    interruption->confirmed = true;
    auto report = reportOf(fingerprint, target);
    bool separate = interruptions->second.confirmedIncidents() > incidentsBefore;
    if (!separate) {
        ++m_statistics.uncountedCrashes;
        logEvent(LogLevel::Info, "request_crash", { { "fingerprint", hexOf(fingerprint) }, { "target", report.target }, { "incarnation", report.incarnation }, { "result", std::string("same_incident") } });
        return;
    }
    bool local = interruption->local;
    if (!countCrash(report, local, now))
        return;
    if (local)
        m_broadcast(report);
    convictIfProven(report, now);
}

/// A counted crash must not count again as an unconfirmed interruption.
void CrashGuard::markConfirmed(const CrashReport& report)
{
    auto interruptions = m_interruptions.find(report.fingerprint);
    std::int64_t startedAt = 0;
    auto [end, error] = std::from_chars(report.incarnation.data(), report.incarnation.data() + report.incarnation.size(), startedAt);
    if (interruptions == m_interruptions.end() || error != std::errc {})
        return;
    if (auto* interruption = interruptions->second.find({ .target = report.target, .startedAt = startedAt }))
        interruption->confirmed = true;
}

bool CrashGuard::countCrash(const CrashReport& report, bool local, TimePoint now)
{
    markConfirmed(report);
    bool counted = m_quarantine.onCrash(report, now);
    auto& record = m_crashes[report.fingerprint];
    record.local = record.local || local;
    if (counted) {
        record.reports.push_back(report);
        record.lastCrashAt = now;
    }
    ++(counted ? m_statistics.countedCrashes : m_statistics.uncountedCrashes);
    if (counted)
        logEvent(LogLevel::Info, "request_crash", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target }, { "incarnation", report.incarnation }, { "result", std::string("counted") }, { "local", local }, { "crashes", std::int64_t(record.reports.size()) } });
    if (counted && record.local && record.reports.size() >= crashesToRecord && mayConvict(report.fingerprint)) {
        for (const auto& recorded : record.reports)
            m_recordInStore(recorded);
    }
    return counted;
}

void CrashGuard::convictIfProven(const CrashReport& report, TimePoint now)
{
    auto crashes = m_crashes.find(report.fingerprint);
    bool regardless = crashes != m_crashes.end() && crashes->second.reports.size() >= crashesToConvictRegardless;
    if (!mayConvict(report.fingerprint))
        return;
    bool proven = regardless || m_quarantine.standing(report.fingerprint, now) == Standing::Convicted;
    if (!proven || !m_quarantine.convict(report.fingerprint, now))
        return;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target } });
    m_broadcast(ConvictionNotice { .fingerprint = report.fingerprint });
}

/// True unless the request was answered before and has met few crashes since.
bool CrashGuard::mayConvict(Fingerprint fingerprint) const
{
    if (!m_completed.contains(fingerprint))
        return true;
    auto crashes = m_crashes.find(fingerprint);
    return crashes != m_crashes.end() && crashes->second.reports.size() >= crashesToConvictCompleted;
}

/// Tells peers that are about to suspect a request that it was answered at this instance before.
void CrashGuard::notifyIfCompletedBefore(Fingerprint fingerprint, TimePoint now)
{
    auto interruptions = m_interruptions.find(fingerprint);
    bool suspected = interruptions != m_interruptions.end() && interruptions->second.possibleIncidents() + 1 >= crashesToConvict;
    if (!suspected || !m_completed.contains(fingerprint) || !m_notifiedAt.emplace(fingerprint, now).second)
        return;
    m_broadcast(PriorCompletionNotice { .fingerprint = fingerprint });
}

void CrashGuard::clear(Fingerprint fingerprint, TimePoint now)
{
    m_completed.add(fingerprint, now);
    m_interruptions.erase(fingerprint);
    m_crashes.erase(fingerprint);
    m_quarantine.pardon(fingerprint);
}

void CrashGuard::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    bool wasSuspect = m_interruptions.contains(fingerprint) || m_crashes.contains(fingerprint);
    clear(fingerprint, now);
    if (!wasSuspect)
        return;
    logEvent(LogLevel::Info, "request_cleared", { { "fingerprint", hexOf(fingerprint) } });
    m_broadcast(CompletionReport { .fingerprint = fingerprint });
}

void CrashGuard::onPeerMessage(const CrashGuardMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const InterruptionReport& report) {
                       TargetIncarnation target { .target = report.target, .startedAt = report.targetStartedAt };
                       if (!m_unavailableTargets.contains(target))
                           addInterruption(report.fingerprint, { .target = target, .sentAt = now - report.sentAgo, .endedAt = now - report.interruptedAgo }, now);
                       notifyIfCompletedBefore(report.fingerprint, now);
                   },
                   [&](const CrashReport& report) {
                       if (countCrash(report, false, now))
                           convictIfProven(report, now);
                   },
                   [&](const PriorCompletionNotice& notice) { m_completed.add(notice.fingerprint, now); },
                   [&](const CompletionReport& report) { clear(report.fingerprint, now); },
                   [&](const ConvictionNotice& notice) {
                       if (mayConvict(notice.fingerprint))
                           m_quarantine.convict(notice.fingerprint, now);
                   },
                   [&](const PardonNotice& notice) {
                       m_crashes.erase(notice.fingerprint);
                       m_quarantine.pardon(notice.fingerprint);
                   },
               },
        message);
}

void CrashGuard::onStoredReport(const CrashReport& report, TimePoint now)
{
    if (countCrash(report, false, now))
        convictIfProven(report, now);
}

void CrashGuard::onTick(TimePoint now)
{
    if (now < m_nextRepetition)
        return;
    m_nextRepetition = now + repetitionInterval;
    removeExpired(now);
    std::vector<CrashReport> repeated;
    for (const auto& [fingerprint, record] : m_crashes) {
        bool repeats = record.local && record.reports.size() >= crashesToRecord && record.lastCrashAt + repetitionDuration >= now;
        if (repeats)
            repeated.insert(repeated.end(), record.reports.begin(), record.reports.end());
    }
    for (const auto& report : repeated)
        m_broadcast(report);
}

/// True if the request has reached the threshold with crashes of which some are not yet confirmed.
bool CrashGuard::isSuspended(Fingerprint fingerprint) const
{
    auto interruptions = m_interruptions.find(fingerprint);
    if (interruptions == m_interruptions.end() || m_completed.contains(fingerprint))
        return false;
    auto possible = interruptions->second.possibleIncidents();
    auto unconfirmed = possible - std::min(possible, interruptions->second.confirmedIncidents());
    auto crashes = m_crashes.find(fingerprint);
    auto counted = crashes == m_crashes.end() ? 0 : crashes->second.reports.size();
    return unconfirmed > 0 && counted + unconfirmed >= crashesToConvict;
}

std::optional<Clock::duration> CrashGuard::retryDelayIfRefused(Fingerprint fingerprint, TimePoint now) const
{
    if (m_quarantine.standing(fingerprint, now) == Standing::Convicted && mayConvict(fingerprint))
        return retryDelayConvicted;
    if (isSuspended(fingerprint))
        return retryDelayUnconfirmed;
    return std::nullopt;
}

}

#include "quarantine/crashguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>
#include <charconv>

namespace guavaspan {

namespace {

    /// Crashes after which a request is refused, one of them on trial. If many callers send the same request, it runs on
    /// several targets at any time, so two crashes may be a coincidence.
    constexpr std::size_t crashesToConvict = 3;
    /// Crashes from which a request's reports are kept in the shared store. Most requests that run on a
    /// crashing target never meet a second crash, so of the first crash only the likeliest cause is kept.
    constexpr std::size_t crashesToRecord = 2;
    /// A shorter silence before the end of an attempt says nothing about the target.
    constexpr auto minSilence = Milliseconds(250);
    /// The entry of a crashed target expires after three missed heartbeats; a target whose entry was
    /// removed for another reason is heard until then.
    constexpr auto minSilenceBeforeRemoval = Milliseconds(1500);
    /// A request that crashes targets does so after about the same time.
    constexpr int outlivingFactor = 2;
    /// A target that has broken a trial and lives answers other requests within this time.
    constexpr auto trialResultDelay = Milliseconds(500);
    constexpr auto unavailableTargetLifetime = Seconds(60);
    constexpr auto suspicionLifetime = std::chrono::minutes(30);
    constexpr auto convictionLifetime = std::chrono::hours(6);
    /// A crashed target is replaced within this time, and the fault that ended it has passed.
    constexpr auto retrialDelay = Seconds(10);
    /// Time between notices to peers that an answer refutes a conviction.
    constexpr auto notificationInterval = Seconds(5);
    constexpr auto decisionInterval = Seconds(1);
    /// Time after a crash or a conviction in which it is reported again.
    constexpr auto repetitionDuration = Seconds(10);
    constexpr auto interruptionRepetitionDuration = Seconds(3);
    /// Retry delay while it is not known whether targets have crashed: their entries expire in this time.
    constexpr auto retryDelayUnconfirmed = Seconds(5);
    /// Retry delay of a convicted request; operators have to examine it first.
    constexpr auto retryDelayConvicted = Seconds(60);

    /// The incarnation that a report names; its start time is 0 if the report comes from another kind of target.
    TargetIncarnation incarnationOf(const CrashReport& report)
    {
        TargetIncarnation incarnation { .target = report.target };
        std::from_chars(report.incarnation.data(), report.incarnation.data() + report.incarnation.size(), incarnation.startedAt);
        return incarnation;
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

CrashGuard::CrashGuard(Broadcaster broadcast, Recorder record)
    : m_broadcast(std::move(broadcast))
    , m_record(std::move(record))
{
}

void CrashGuard::removeExpired(TimePoint now)
{
    for (auto& [fingerprint, suspect] : m_cases)
        suspect.interruptions.removeExpired(now);
    std::erase_if(m_cases, [&](const auto& entry) {
        const auto& suspect = entry.second;
        bool convicted = suspect.convictedAt && *suspect.convictedAt + convictionLifetime > now;
        bool suspicious = !suspect.reports.empty() && suspect.lastCrashAt + suspicionLifetime > now;
        if (suspect.suspectedAt)
            suspicious = suspicious || *suspect.suspectedAt + suspicionLifetime > now;
        return suspect.interruptions.empty() && !convicted && !suspicious;
    });
    if (m_cases.empty())
        m_unclearTargets.clear();
    std::erase_if(m_unavailableTargets, [&](const auto& entry) { return entry.second.at + unavailableTargetLifetime < now; });
    m_brokenTargets.removeExpired(now);
    std::erase_if(m_notifiedAt, [&](const auto& entry) { return entry.second + notificationInterval < now; });
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
    logEvent(LogLevel::Info, "answer_interrupted", { { "fingerprint", hexOf(attempt.fingerprint) }, { "target", target.target }, { "incarnation", std::to_string(target.startedAt) }, { "abandoned", attempt.abandoned }, { "path_lost", attempt.pathLost }, { "on_trial", attempt.onTrial }, { "silent_ms", elapsed(attempt.lastHeardAt, now).count() }, { "counts", counts } });
    if (!counts)
        return;
    addInterruption(attempt.fingerprint, { .target = target, .sentAt = attempt.sentAt, .endedAt = now, .abandoned = !attempt.isEvidence(), .onTrial = attempt.onTrial, .local = true }, now);
    if (attempt.isEvidence())
        m_broadcast(InterruptionReport { .fingerprint = attempt.fingerprint, .target = target.target, .targetStartedAt = target.startedAt, .sentAgo = elapsed(attempt.sentAt, now), .interruptedAgo = Milliseconds(0), .onTrial = attempt.onTrial });
    if (crashed)
        confirm(attempt.fingerprint, target, now);
}

void CrashGuard::addInterruption(Fingerprint fingerprint, Interruption interruption, TimePoint now)
{
    removeExpired(now);
    auto target = interruption.target;
    // Reports of peers may arrive long after what they tell, so that only the instance that sent the request can tell the order.
    bool crashedBefore = interruption.local && !interruption.onTrial && m_brokenTargets.hadCrashedBefore(target, interruption.sentAt);
    if (interruption.isEvidence())
        m_brokenTargets.onBroken(target, interruption.endedAt);
    if (crashedBefore)
        return;
    if (m_cases[fingerprint].interruptions.add(std::move(interruption)))
        m_unclearTargets.insert(target);
    if (isSuspended(fingerprint))
        logEvent(LogLevel::Warning, "request_suspended", { { "fingerprint", hexOf(fingerprint) }, { "target", target.target } });
}

void CrashGuard::onTargetAnswered(const TargetEntry& target, TimePoint sentAt)
{
    if (m_unclearTargets.empty() && m_brokenTargets.empty())
        return;
    auto incarnation = incarnationOf(target);
    m_brokenTargets.onAnswered(incarnation, sentAt);
    if (!m_unclearTargets.contains(incarnation))
        return;
    bool isUnclear = false;
    for (auto& [fingerprint, suspect] : m_cases) {
        suspect.interruptions.onAlive(incarnation, sentAt);
        isUnclear = isUnclear || suspect.interruptions.find(incarnation);
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
    m_brokenTargets.remove(target);
    // A peer's answer to a broadcast may clear requests, so they are not confirmed while iterating.
    std::vector<Fingerprint> crashed;
    for (auto& [fingerprint, suspect] : m_cases) {
        if (announced)
            suspect.interruptions.onAlive(target, event.at);
        else if (suspect.interruptions.find(target))
            crashed.push_back(fingerprint);
    }
    for (auto fingerprint : crashed)
        confirm(fingerprint, target, event.at);
}

/// Counts the crash of a target for a request, unless an earlier crash may have had the same cause.
void CrashGuard::confirm(Fingerprint fingerprint, const TargetIncarnation& target, TimePoint now)
{
    auto found = m_cases.find(fingerprint);
    auto* interruption = found == m_cases.end() ? nullptr : found->second.interruptions.find(target);
    if (!interruption || interruption->confirmed)
        return;
    auto incidentsBefore = found->second.interruptions.confirmedIncidents();
    interruption->confirmed = true;
    recordSuspicion(fingerprint, now);
    auto report = reportOf(fingerprint, target);
    bool separate = found->second.interruptions.confirmedIncidents() > incidentsBefore;
    if (!separate) {
        ++m_statistics.uncountedCrashes;
        logEvent(LogLevel::Info, "request_crash", { { "fingerprint", hexOf(fingerprint) }, { "target", report.target }, { "incarnation", report.incarnation }, { "result", std::string("same_incident") } });
        logIfNotConvicted(fingerprint);
        return;
    }
    bool local = interruption->local;
    if (!countCrash(report, local, now))
        return;
    if (local)
        m_broadcast(report);
    convictIfEvident(fingerprint, now);
    logIfNotConvicted(fingerprint);
}

/// Notes that several targets have crashed, which instances that start later must know. Peers write the same record.
void CrashGuard::recordSuspicion(Fingerprint fingerprint, TimePoint now)
{
    auto& suspect = m_cases.at(fingerprint);
    if (suspect.interruptions.confirmedCrashes() < crashesToSuspect)
        return;
    suspect.suspectedAt = now;
    const auto& entries = suspect.interruptions.entries();
    bool observed = std::any_of(entries.begin(), entries.end(), [](const Interruption& interruption) { return interruption.local; });
    if (observed)
        m_record(SuspicionRecord { .fingerprint = fingerprint });
}

/// Reports why a request is still sent although as many targets as a conviction needs have crashed while they ran it.
void CrashGuard::logIfNotConvicted(Fingerprint fingerprint) const
{
    const auto& suspect = m_cases.at(fingerprint);
    const auto& entries = suspect.interruptions.entries();
    auto crashes = std::count_if(entries.begin(), entries.end(), [](const Interruption& interruption) { return interruption.confirmed; });
    if (suspect.convictedAt || static_cast<std::size_t>(crashes) < crashesToConvict)
        return;
    std::string cause = suspect.reports.size() < crashesToConvict ? "same_incident" : "no_trial";
    logEvent(LogLevel::Info, "request_not_convicted", { { "fingerprint", hexOf(fingerprint) }, { "cause", cause }, { "crashes", std::int64_t(crashes) }, { "counted", std::int64_t(suspect.reports.size()) } });
}

bool CrashGuard::countCrash(const CrashReport& report, bool local, TimePoint now)
{
    auto& suspect = m_cases[report.fingerprint];
    suspect.local = suspect.local || local;
    // A counted crash must not count again as an unconfirmed interruption.
    if (auto* interruption = suspect.interruptions.find(incarnationOf(report)))
        interruption->confirmed = true;
    bool counted = std::find(suspect.reports.begin(), suspect.reports.end(), report) == suspect.reports.end();
    ++(counted ? m_statistics.countedCrashes : m_statistics.uncountedCrashes);
    if (!counted)
        return false;
    suspect.reports.push_back(report);
    suspect.lastCrashAt = now;
    logEvent(LogLevel::Info, "request_crash", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target }, { "incarnation", report.incarnation }, { "result", std::string("counted") }, { "local", local }, { "crashes", std::int64_t(suspect.reports.size()) } });
    bool recorded = suspect.reports.size() >= crashesToRecord || startedLastAt(report.fingerprint, incarnationOf(report));
    if (suspect.local && recorded) {
        for (const auto& recorded : suspect.reports)
            m_record(recorded);
    }
    return true;
}

/// True if of the requests that this instance ran at the target and that are not known to be answered, this one was interrupted
/// soonest after it was sent.
bool CrashGuard::startedLastAt(Fingerprint fingerprint, const TargetIncarnation& target) const
{
    auto runTimeOf = [&](const CrashCase& suspect) -> std::optional<Clock::duration> {
        const auto* interruption = suspect.interruptions.find(target);
        return interruption && interruption->local ? std::optional(interruption->endedAt - interruption->sentAt) : std::nullopt;
    };
    auto own = runTimeOf(m_cases.at(fingerprint));
    return own && !m_completed.contains(fingerprint) && std::none_of(m_cases.begin(), m_cases.end(), [&](const auto& entry) {
        auto other = runTimeOf(entry.second);
        return other && *other < *own && !m_completed.contains(entry.first);
    });
}

/// Convicts a request that has crashed targets one after the other, among them one on which it ran alone.
void CrashGuard::convictIfEvident(Fingerprint fingerprint, TimePoint now)
{
    const auto& suspect = m_cases.at(fingerprint);
    bool evident = suspect.reports.size() >= crashesToConvict && crashesOnTrial(m_cases, fingerprint, TrialEvidence::Confirmed) > 0;
    if (suspect.convictedAt || !evident)
        return;
    convict(fingerprint, now);
    m_broadcast(ConvictionNotice { .fingerprint = fingerprint });
}

void CrashGuard::convict(Fingerprint fingerprint, TimePoint now)
{
    auto& suspect = m_cases[fingerprint];
    if (suspect.convictedAt)
        return;
    suspect.convictedAt = now;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(fingerprint) }, { "crashes", std::int64_t(suspect.reports.size()) }, { "local", suspect.local } });
    if (suspect.local)
        m_record(ConvictionNotice { .fingerprint = fingerprint });
    acquitExplained();
}

/// A request may seem to have crashed its target alone if the evidence against the one that did was incomplete at the time.
void CrashGuard::acquitExplained()
{
    for (auto& [fingerprint, suspect] : m_cases) {
        if (!suspect.convictedAt || !isExplainedByConvictions(m_cases, fingerprint))
            continue;
        suspect.convictedAt.reset();
        logEvent(LogLevel::Info, "request_acquitted", { { "fingerprint", hexOf(fingerprint) }, { "cause", std::string("explained_by_conviction") } });
    }
}

/// Discards the evidence from before the sending of a request that was answered; what ran at the same time may still crash.
void CrashGuard::clear(Fingerprint fingerprint, TimePoint answeredFrom, TimePoint now)
{
    m_completed.add(fingerprint, answeredFrom, now);
    auto found = m_cases.find(fingerprint);
    if (found == m_cases.end())
        return;
    auto& suspect = found->second;
    suspect.interruptions.removeEndedBefore(answeredFrom);
    if (suspect.interruptions.empty()) {
        m_cases.erase(found);
        return;
    }
    std::erase_if(suspect.reports, [&](const CrashReport& report) { return !suspect.interruptions.find(incarnationOf(report)); });
    if (suspect.interruptions.confirmedCrashes() < crashesToSuspect)
        suspect.suspectedAt.reset();
    if (suspect.reports.size() < crashesToConvict)
        suspect.convictedAt.reset();
}

void CrashGuard::onCompleted(Fingerprint fingerprint, TimePoint sentAt, TimePoint now)
{
    bool wasSuspect = m_cases.contains(fingerprint);
    clear(fingerprint, sentAt, now);
    if (!wasSuspect)
        return;
    logEvent(LogLevel::Info, "request_cleared", { { "fingerprint", hexOf(fingerprint) } });
    m_broadcast(CompletionReport { .fingerprint = fingerprint, .sentAgo = std::chrono::ceil<Milliseconds>(now - sentAt) });
}

void CrashGuard::onInterruptionReport(const InterruptionReport& report, TimePoint now)
{
    TargetIncarnation target { .target = report.target, .startedAt = report.targetStartedAt };
    auto endedAt = now - report.interruptedAgo;
    auto answeredFrom = m_completed.lastSentAt(report.fingerprint);
    bool isRefuted = (answeredFrom && *answeredFrom > endedAt) || m_brokenTargets.hasAnsweredSince(target, endedAt);
    if (isRefuted || m_unavailableTargets.contains(target))
        return;
    addInterruption(report.fingerprint, { .target = target, .sentAt = now - report.sentAgo, .endedAt = endedAt, .onTrial = report.onTrial }, now);
}

void CrashGuard::onConvictionNotice(const ConvictionNotice& notice, TimePoint now)
{
    auto answeredFrom = m_completed.lastSentAt(notice.fingerprint);
    auto known = m_cases.find(notice.fingerprint);
    if (known != m_cases.end() && isExplainedByConvictions(m_cases, notice.fingerprint))
        return;
    bool refuted = answeredFrom && known == m_cases.end();
    if (!refuted)
        convict(notice.fingerprint, now);
    else if (m_notifiedAt.emplace(notice.fingerprint, now).second)
        m_broadcast(PriorCompletionNotice { .fingerprint = notice.fingerprint, .sentAgo = std::chrono::ceil<Milliseconds>(now - *answeredFrom) });
}

/// Stored evidence has no times, so that any answer that a peer knows to be later than all evidence refutes it.
void CrashGuard::onPriorCompletion(const PriorCompletionNotice& notice, TimePoint now)
{
    auto isConvicted = [&] {
        auto found = m_cases.find(notice.fingerprint);
        return found != m_cases.end() && found->second.convictedAt;
    };
    bool wasConvicted = isConvicted();
    clear(notice.fingerprint, now - notice.sentAgo, now);
    if (wasConvicted && !isConvicted())
        logEvent(LogLevel::Info, "request_acquitted", { { "fingerprint", hexOf(notice.fingerprint) }, { "sent_ago_ms", notice.sentAgo.count() } });
}

void CrashGuard::onPeerMessage(const CrashGuardMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const InterruptionReport& report) { onInterruptionReport(report, now); },
                   [&](const CrashReport& report) {
                       if (countCrash(report, false, now))
                           convictIfEvident(report.fingerprint, now);
                   },
                   [&](const PriorCompletionNotice& notice) { onPriorCompletion(notice, now); },
                   [&](const CompletionReport& report) { clear(report.fingerprint, now - report.sentAgo, now); },
                   [&](const ConvictionNotice& notice) { onConvictionNotice(notice, now); },
                   [&](const PardonNotice& notice) { m_cases.erase(notice.fingerprint); },
               },
        message);
}

void CrashGuard::onStoredRecord(const CrashRecord& record, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const CrashReport& report) { countCrash(report, false, now); },
                   [&](const ConvictionNotice& notice) { onConvictionNotice(notice, now); },
                   [&](const SuspicionRecord& suspicion) { m_cases[suspicion.fingerprint].suspectedAt = now; },
               },
        record);
}

/// Verdicts on all instances' requests depend on what ran together, so that a lost report may blame the wrong one.
void CrashGuard::repeatInterruptions(Fingerprint fingerprint, const CrashCase& suspect, TimePoint now, std::vector<CrashGuardMessage>& messages) const
{
    for (const auto& interruption : suspect.interruptions.entries()) {
        bool isRecent = interruption.endedAt + interruptionRepetitionDuration >= now;
        if (interruption.local && interruption.isEvidence() && isRecent)
            messages.emplace_back(InterruptionReport { .fingerprint = fingerprint, .target = interruption.target.target, .targetStartedAt = interruption.target.startedAt, .sentAgo = elapsed(interruption.sentAt, now), .interruptedAgo = elapsed(interruption.endedAt, now), .onTrial = interruption.onTrial });
    }
}

void CrashGuard::onTick(TimePoint now)
{
    if (now < m_nextDecision)
        return;
    m_nextDecision = now + decisionInterval;
    removeExpired(now);
    std::vector<CrashGuardMessage> repeated;
    for (const auto& [fingerprint, suspect] : m_cases) {
        if (suspect.convictedAt && *suspect.convictedAt + repetitionDuration >= now)
            repeated.emplace_back(ConvictionNotice { .fingerprint = fingerprint });
        if (needsTrial(fingerprint))
            repeatInterruptions(fingerprint, suspect, now, repeated);
        if (suspect.local && suspect.reports.size() >= crashesToRecord && suspect.lastCrashAt + repetitionDuration >= now)
            repeated.insert(repeated.end(), suspect.reports.begin(), suspect.reports.end());
    }
    for (const auto& message : repeated)
        m_broadcast(message);
}

/// True if the request has met as many crashes as a conviction needs, of which some are not yet confirmed or
/// decided.
bool CrashGuard::isSuspended(Fingerprint fingerprint) const
{
    auto found = m_cases.find(fingerprint);
    if (found == m_cases.end())
        return false;
    return found->second.weight() >= crashesToConvict && crashesOnTrial(m_cases, fingerprint, TrialEvidence::Possible) > 0;
}

/// A verdict that rests on a single trial may be wrong, if the target ended for another cause: the request is tried once more.
bool CrashGuard::isRetrialPossible(Fingerprint fingerprint) const
{
    return crashesOnTrial(m_cases, fingerprint, TrialEvidence::Possible) == 1;
}

bool CrashGuard::awaitsTrialResult(Fingerprint fingerprint, TimePoint now) const
{
    if (!isSuspended(fingerprint) || m_cases.at(fingerprint).convictedAt)
        return false;
    const auto& entries = m_cases.at(fingerprint).interruptions.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const Interruption& interruption) { return interruption.onTrial && !interruption.confirmed && interruption.endedAt + trialResultDelay > now; });
}

bool CrashGuard::isSuspect(Fingerprint fingerprint) const
{
    auto found = m_cases.find(fingerprint);
    return found != m_cases.end() && !found->second.reports.empty();
}

bool CrashGuard::needsTrial(Fingerprint fingerprint) const
{
    auto found = m_cases.find(fingerprint);
    if (found == m_cases.end())
        return false;
    const auto& suspect = found->second;
    return suspect.suspectedAt || std::max(suspect.reports.size(), suspect.interruptions.possibleCrashes()) >= crashesToSuspect;
}

bool CrashGuard::outlives(Fingerprint fingerprint, TimePoint sentAt, TimePoint now) const
{
    auto found = m_cases.find(fingerprint);
    auto longest = found == m_cases.end() ? Clock::duration::zero() : found->second.interruptions.longestRunTime();
    return longest > Clock::duration::zero() && now - sentAt > outlivingFactor * longest;
}

std::optional<Clock::duration> CrashGuard::retryDelayIfRefused(Fingerprint fingerprint, TimePoint now) const
{
    auto found = m_cases.find(fingerprint);
    if (found == m_cases.end())
        return std::nullopt;
    const auto& convictedAt = found->second.convictedAt;
    if (convictedAt && *convictedAt + convictionLifetime > now) {
        if (!isRetrialPossible(fingerprint))
            return retryDelayConvicted;
        auto untilRetrial = *convictedAt + retrialDelay - now;
        return untilRetrial > Clock::duration::zero() ? std::optional(untilRetrial) : std::nullopt;
    }
    if (isSuspended(fingerprint))
        return retryDelayUnconfirmed;
    return std::nullopt;
}

}

#include "quarantine/promptguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace guavaspan {

namespace {

    /// Separate interruptions after which a part is convicted. Engines that leave or are lost interrupt sound requests too.
    constexpr std::size_t incidentsToConvict = 3;
    /// Targets that broke off requests with a part, after which requests with it run on trial only.
    constexpr std::size_t targetsToSuspect = 2;
    /// Time for the peers' responses to an inquiry.
    constexpr auto inquiryTime = Milliseconds(300);
    /// An interruption counts until an answer with the part begins; rare parts crash targets minutes apart.
    constexpr auto interruptionLifetime = std::chrono::minutes(10);
    /// A part is shared by many requests, so that a wrong conviction must end soon. It equals the lifetime of the stored record.
    constexpr auto convictionLifetime = std::chrono::minutes(10);
    constexpr auto repetitionInterval = Seconds(1);
    /// Time after a conviction in which it is reported again.
    constexpr auto repetitionDuration = Seconds(10);
    /// Age of an answer that refutes a conviction which this instance finds in the store.
    constexpr auto refutationTime = Seconds(5);
    constexpr std::size_t maxCases = 1024;
    constexpr std::size_t maxKnownAnswers = 4096;

    /// Rounded up, so that peers do not take what happened for later than it did.
    Milliseconds ageOf(TimePoint time, TimePoint now)
    {
        return std::chrono::ceil<Milliseconds>(now - time);
    }

}

PromptGuard::PromptGuard(std::string instance, IPromptGuardTransport& transport, Recorder record)
    : m_instance(std::move(instance))
    , m_transport(transport)
    , m_record(std::move(record))
{
}

void PromptGuard::removeExpired(TimePoint now)
{
    for (auto& [part, suspect] : m_cases)
        suspect.interruptions.removeExpired(now);
    std::erase_if(m_cases, [&](const auto& entry) {
        const auto& suspect = entry.second;
        bool convicted = suspect.convictedAt && *suspect.convictedAt + convictionLifetime > now;
        if (suspect.convictedAt && !convicted)
            logEvent(LogLevel::Info, "prompt_part_acquitted", { { "part", hexOf(entry.first) }, { "cause", std::string("expired") } });
        return !convicted && (suspect.convictedAt || suspect.interruptions.empty());
    });
}

bool PromptGuard::Case::needsTrial() const
{
    return !convictedAt && interruptions.possibleCrashes() >= targetsToSuspect;
}

std::vector<PromptPart> PromptGuard::partsThatNeedTrial(const std::vector<PromptPart>& parts) const
{
    std::vector<PromptPart> suspects;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(suspects), [&](PromptPart part) {
        auto found = m_cases.find(part);
        return found != m_cases.end() && found->second.needsTrial();
    });
    return suspects;
}

std::optional<TimePoint> PromptGuard::lastAnswer(PromptPart part) const
{
    for (const auto* answers : { &m_answers, &m_earlierAnswers }) {
        auto found = answers->find(part);
        if (found != answers->end())
            return found->second;
    }
    return std::nullopt;
}

void PromptGuard::recordAnswer(PromptPart part, TimePoint answeredAt)
{
    if (m_answers.size() >= maxKnownAnswers)
        m_earlierAnswers = std::exchange(m_answers, {});
    auto [known, added] = m_answers.try_emplace(part, answeredAt);
    known->second = std::max(known->second, answeredAt);
}

void PromptGuard::onInterrupted(const PromptInterruption& interruption, TimePoint now)
{
    if (interruption.parts.empty())
        return;
    auto target = incarnationOf(interruption.target);
    logEvent(LogLevel::Info, "prompt_interrupted", { { "prompt_parts", describe(interruption.parts) }, { "target", target.target }, { "incarnation", std::to_string(target.startedAt) }, { "since_sent_ms", ageOf(interruption.sentAt, now).count() }, { "on_trial", interruption.onTrial } });
    addInterruption(interruption.parts, { .target = target, .sentAt = interruption.sentAt, .endedAt = now, .onTrial = interruption.onTrial, .local = true }, now);
    m_transport.sendToAll(PromptInterruptionReport { .parts = interruption.parts, .target = target.target, .targetStartedAt = target.startedAt, .sentAgo = ageOf(interruption.sentAt, now), .onTrial = interruption.onTrial });
}

void PromptGuard::addInterruption(const std::vector<PromptPart>& parts, const Interruption& interruption, TimePoint now)
{
    removeExpired(now);
    for (std::size_t position = 0; position < parts.size(); ++position) {
        bool known = m_cases.contains(parts[position]);
        if (!known && m_cases.size() >= maxCases) {
            logEvent(LogLevel::Warning, "prompt_interruption_dropped", { { "part", hexOf(parts[position]) }, { "cases", std::int64_t(m_cases.size()) } });
            return;
        }
        auto [entry, added] = m_cases.try_emplace(parts[position], Case { .interruptions = InterruptionLog(interruptionLifetime) });
        auto& suspect = entry->second;
        suspect.position = std::max(suspect.position, position);
        suspect.local = suspect.local || interruption.local;
        suspect.interruptions.add(interruption);
    }
}

void PromptGuard::onAnswerBegun(const std::vector<PromptPart>& parts, TimePoint now)
{
    // Requests without parts go to other services, whose answers do not show that these targets work.
    if (parts.empty())
        return;
    for (auto& [part, suspect] : m_cases) {
        if (std::find(parts.begin(), parts.end(), part) == parts.end())
            ++suspect.answersWithoutPart;
    }
    for (auto part : parts) {
        recordAnswer(part, now);
        clear(part, now, true, now);
    }
}

/// Discards the evidence against a part from before an answer with it began.
void PromptGuard::clear(PromptPart part, TimePoint answeredAt, bool isOwnAnswer, TimePoint now)
{
    auto found = m_cases.find(part);
    if (found == m_cases.end())
        return;
    auto& suspect = found->second;
    bool neededTrial = suspect.needsTrial();
    suspect.interruptions.removeEndedBefore(answeredAt);
    suspect.inquiredAt.reset();
    suspect.answersWithoutPart = 0;
    bool acquitted = suspect.convictedAt && answeredAt > suspect.evidenceSince && unexplainedIncidents(part, suspect) < incidentsToConvict;
    // Requests with the part wait at all instances until its trial ends.
    bool informsPeers = (acquitted && suspect.local) || (isOwnAnswer && neededTrial && !suspect.needsTrial());
    if (acquitted) {
        suspect.convictedAt.reset();
        logEvent(LogLevel::Warning, "prompt_part_acquitted", { { "part", hexOf(part) }, { "cause", std::string("answered") } });
    }
    if (!suspect.convictedAt && suspect.interruptions.empty())
        m_cases.erase(found);
    if (informsPeers)
        m_transport.sendToAll(PromptPartClearance { .part = part, .age = ageOf(answeredAt, now) });
}

void PromptGuard::onTargetAnswered(const TargetEntry& target, TimePoint sentAt)
{
    auto incarnation = incarnationOf(target);
    for (auto& [part, suspect] : m_cases)
        suspect.interruptions.onAlive(incarnation, sentAt);
}

void PromptGuard::onTargetUnavailable(const TargetUnavailable& event)
{
    // A target that shuts down as announced ends the answers that it has not completed.
    bool announced = event.reason == UnavailableReason::Announced || event.reason == UnavailableReason::AskedTarget;
    if (announced)
        onTargetAnswered(event.entry, event.at);
}

/// Separate interruptions at targets that no convicted part with as many interruptions has crashed.
std::size_t PromptGuard::unexplainedIncidents(PromptPart part, const Case& suspect) const
{
    InterruptionLog unexplained(interruptionLifetime);
    for (const auto& interruption : suspect.interruptions.entries()) {
        bool explained = std::any_of(m_cases.begin(), m_cases.end(), [&](const auto& entry) {
            const auto& [other, otherCase] = entry;
            bool weighs = otherCase.convictedAt && otherCase.interruptions.entries().size() >= suspect.interruptions.entries().size();
            return other != part && weighs && otherCase.interruptions.find(interruption.target);
        });
        if (!explained)
            unexplained.add(interruption);
    }
    return unexplained.possibleIncidents();
}

/// True if another part that was interrupted at the same targets is the likelier cause: it was interrupted more often, or stands
/// later in the prompt, where fewer requests share it.
bool PromptGuard::isOutranked(PromptPart part, const Case& suspect) const
{
    auto rank = [](PromptPart ranked, const Case& rankedCase) { return std::make_tuple(rankedCase.interruptions.entries().size(), rankedCase.position, -rankedCase.interruptions.medianRunTime(), ranked); };
    const auto& entries = suspect.interruptions.entries();
    return std::any_of(m_cases.begin(), m_cases.end(), [&](const auto& entry) {
        auto other = entry.first;
        const Case& otherCase = entry.second;
        bool sharesTarget = std::any_of(entries.begin(), entries.end(), [&](const Interruption& interruption) { return otherCase.interruptions.find(interruption.target) != nullptr; });
        return other != part && !otherCase.convictedAt && sharesTarget && rank(other, otherCase) > rank(part, suspect);
    });
}

TimePoint PromptGuard::firstInterruption(const Case& suspect, TimePoint now)
{
    auto first = now;
    for (const auto& interruption : suspect.interruptions.entries())
        first = std::min(first, interruption.endedAt);
    return first;
}

/// Asks the peers first: an instance that gets few requests does not know which parts are answered elsewhere. Only instances
/// that observed an interruption ask, and only if other requests are answered, so that an outage convicts nothing.
std::optional<PromptGuardMessage> PromptGuard::decide(PromptPart part, Case& suspect, TimePoint now)
{
    bool decidable = suspect.local && !suspect.convictedAt && suspect.answersWithoutPart > 0;
    if (!decidable || unexplainedIncidents(part, suspect) < incidentsToConvict || isOutranked(part, suspect))
        return std::nullopt;
    auto since = firstInterruption(suspect, now);
    if (!suspect.inquiredAt) {
        suspect.inquiredAt = now;
        logEvent(LogLevel::Info, "prompt_part_suspected", { { "part", hexOf(part) }, { "interruptions", std::int64_t(suspect.interruptions.entries().size()) }, { "since_ms", ageOf(since, now).count() } });
        return PromptPartInquiry { .instance = m_instance, .part = part, .since = ageOf(since, now) };
    }
    if (*suspect.inquiredAt + inquiryTime > now)
        return std::nullopt;
    convict(part, suspect, since, now);
    m_record(PromptPartRecord { .part = part });
    return PromptPartConviction { .instance = m_instance, .part = part, .since = ageOf(since, now) };
}

void PromptGuard::convict(PromptPart part, Case& suspect, TimePoint evidenceSince, TimePoint now)
{
    suspect.convictedAt = now;
    suspect.lastNoticeAt = now;
    suspect.evidenceSince = evidenceSince;
    logEvent(LogLevel::Warning, "prompt_part_convicted", { { "part", hexOf(part) }, { "interruptions", std::int64_t(suspect.interruptions.entries().size()) }, { "answers_without_part", std::int64_t(suspect.answersWithoutPart) }, { "local", suspect.local } });
    acquitExplained(part, suspect);
}

/// Lifts convictions of parts that were interrupted only where the convicted part was.
void PromptGuard::acquitExplained(PromptPart convictedPart, const Case& convictedCase)
{
    for (auto& [part, suspect] : m_cases) {
        const auto& entries = suspect.interruptions.entries();
        bool explained = !entries.empty() && entries.size() < convictedCase.interruptions.entries().size() && std::all_of(entries.begin(), entries.end(), [&](const Interruption& interruption) { return convictedCase.interruptions.find(interruption.target) != nullptr; });
        if (part == convictedPart || !suspect.convictedAt || !explained)
            continue;
        suspect.convictedAt.reset();
        logEvent(LogLevel::Warning, "prompt_part_acquitted", { { "part", hexOf(part) }, { "cause", "explained by " + hexOf(convictedPart) } });
    }
}

void PromptGuard::onInterruptionReport(const PromptInterruptionReport& report, TimePoint now)
{
    addInterruption(report.parts, { .target = { .target = report.target, .startedAt = report.targetStartedAt }, .sentAt = now - report.sentAgo, .endedAt = now, .onTrial = report.onTrial }, now);
}

void PromptGuard::onInquiry(const std::string& instance, PromptPart part, Milliseconds since, TimePoint now)
{
    auto answeredAt = lastAnswer(part);
    if (answeredAt && *answeredAt > now - since)
        m_transport.send(instance, PromptPartClearance { .part = part, .age = ageOf(*answeredAt, now) });
}

void PromptGuard::onConviction(const PromptPartConviction& notice, TimePoint now)
{
    auto answeredAt = lastAnswer(notice.part);
    if (answeredAt && *answeredAt > now - notice.since) {
        onInquiry(notice.instance, notice.part, notice.since, now);
        return;
    }
    auto& suspect = m_cases.try_emplace(notice.part, Case { .interruptions = InterruptionLog(interruptionLifetime) }).first->second;
    if (suspect.convictedAt)
        return;
    convict(notice.part, suspect, now - notice.since, now);
}

void PromptGuard::onPeerMessage(const PromptGuardMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const PromptInterruptionReport& report) { onInterruptionReport(report, now); },
                   [&](const PromptPartInquiry& inquiry) { onInquiry(inquiry.instance, inquiry.part, inquiry.since, now); },
                   [&](const PromptPartClearance& clearance) {
                       // A conviction that arrives later may be older than the clearance.
                       recordAnswer(clearance.part, now - clearance.age);
                       clear(clearance.part, now - clearance.age, false, now);
                   },
                   [&](const PromptPartConviction& conviction) { onConviction(conviction, now); },
               },
        message);
}

/// The record may be older than an acquittal, so the peers are asked whether they know answers with the part.
void PromptGuard::onStoredRecord(const PromptPartRecord& record, TimePoint now)
{
    auto found = m_cases.find(record.part);
    if (found != m_cases.end() && found->second.convictedAt)
        return;
    onConviction({ .instance = m_instance, .part = record.part, .since = refutationTime }, now);
    m_transport.sendToAll(PromptPartInquiry { .instance = m_instance, .part = record.part, .since = refutationTime });
}

void PromptGuard::onTick(TimePoint now)
{
    if (m_cases.empty())
        return;
    removeExpired(now);
    // A peer's response may remove cases, so nothing is sent while iterating.
    std::vector<PromptGuardMessage> messages;
    for (auto& [part, suspect] : m_cases) {
        if (auto message = decide(part, suspect, now))
            messages.push_back(std::move(*message));
        bool repeats = suspect.local && suspect.convictedAt && *suspect.convictedAt + repetitionDuration >= now && suspect.lastNoticeAt + repetitionInterval <= now;
        if (!repeats)
            continue;
        suspect.lastNoticeAt = now;
        messages.emplace_back(PromptPartConviction { .instance = m_instance, .part = part, .since = ageOf(suspect.evidenceSince, now) });
    }
    for (const auto& message : messages)
        m_transport.sendToAll(message);
}

std::optional<PromptPart> PromptGuard::refusedPart(const std::vector<PromptPart>& parts, TimePoint now) const
{
    auto refused = std::find_if(parts.begin(), parts.end(), [&](PromptPart part) {
        auto found = m_cases.find(part);
        return found != m_cases.end() && found->second.convictedAt && *found->second.convictedAt + convictionLifetime > now;
    });
    return refused == parts.end() ? std::nullopt : std::optional(*refused);
}

std::size_t PromptGuard::convictedParts() const
{
    return static_cast<std::size_t>(std::count_if(m_cases.begin(), m_cases.end(), [](const auto& entry) { return entry.second.convictedAt.has_value(); }));
}

}

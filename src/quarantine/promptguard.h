#pragma once

#include "quarantine/interruptionlog.h"
#include "quarantine/promptguardmessages.h"
#include "targets/targetdirectory.h"

#include <functional>
#include <map>
#include <optional>

namespace guavaspan {

/// An answer that a target broke off before its first event.
struct PromptInterruption {
    const std::vector<PromptPart>& parts;
    const TargetEntry& target;
    TimePoint sentAt;
    /// The request ran on trial, so that no other suspect was sent to the target.
    bool onTrial = false;
};

/// Sends messages of the prompt guard to other instances, which may be lost.
class IPromptGuardTransport {
public:
    virtual ~IPromptGuardTransport() = default;

    virtual void sendToAll(const PromptGuardMessage&) = 0;
    virtual void send(const std::string& instance, const PromptGuardMessage&) = 0;
};

/// Detects parts of prompts that crash the targets which begin to answer requests with them. Such requests need not be alike otherwise.
/// A part is suspect while interruptions with it follow each other and no answer with it begins anywhere; then requests with it run
/// on trial.
class PromptGuard {
public:
    /// Keeps a record in the shared store. May be called again with the same record.
    using Recorder = std::function<void(const PromptPartRecord&)>;

    PromptGuard(std::string instance, IPromptGuardTransport&, Recorder);

    void onInterrupted(const PromptInterruption&, TimePoint now);

    /// The first event of an answer to a request with these parts arrived.
    void onAnswerBegun(const std::vector<PromptPart>&, TimePoint now);

    /// The target answered a request that was sent at this time, so it has not crashed before.
    void onTargetAnswered(const TargetEntry&, TimePoint sentAt);

    void onTargetUnavailable(const TargetUnavailable&);
    void onPeerMessage(const PromptGuardMessage&, TimePoint now);
    void onStoredRecord(const PromptPartRecord&, TimePoint now);

    /// Decides cases whose evidence has arrived, and repeats recent convictions, since messages to peers may be lost.
    void onTick(TimePoint now);

    /// A part for which requests must not be sent to targets.
    std::optional<PromptPart> refusedPart(const std::vector<PromptPart>&, TimePoint now) const;

    /// Parts that several targets have broken off and that no answer has begun with since.
    std::vector<PromptPart> partsThatNeedTrial(const std::vector<PromptPart>&) const;

    std::size_t convictedParts() const;

private:
    /// The evidence against one part.
    struct Case {
        InterruptionLog interruptions;
        /// Largest position in a prompt.
        std::size_t position = 0;
        /// Answers that began without the part since the first interruption.
        std::size_t answersWithoutPart = 0;
        /// This instance observed one of the interruptions.
        bool local = false;

        bool needsTrial() const;

        /// When peers were asked whether they know answers with the part.
        std::optional<TimePoint> inquiredAt;
        std::optional<TimePoint> convictedAt;
        /// An answer that began later refutes the conviction.
        TimePoint evidenceSince;
        TimePoint lastNoticeAt;
    };
    using Cases = std::map<PromptPart, Case>;

    void removeExpired(TimePoint now);
    void addInterruption(const std::vector<PromptPart>&, const Interruption&, TimePoint now);
    std::size_t unexplainedIncidents(PromptPart, const Case&) const;
    bool isOutranked(PromptPart, const Case&) const;
    std::optional<PromptGuardMessage> decide(PromptPart, Case&, TimePoint now);
    void convict(PromptPart, Case&, TimePoint evidenceSince, TimePoint now);
    void acquitExplained(PromptPart convictedPart, const Case&);
    void clear(PromptPart, TimePoint answeredAt, bool isOwnAnswer, TimePoint now);
    void onInterruptionReport(const PromptInterruptionReport&, TimePoint now);
    void onInquiry(const std::string& instance, PromptPart, Milliseconds since, TimePoint now);
    void onConviction(const PromptPartConviction&, TimePoint now);
    std::optional<TimePoint> lastAnswer(PromptPart) const;
    void recordAnswer(PromptPart, TimePoint);
    static TimePoint firstInterruption(const Case&, TimePoint now);

    std::string m_instance;
    IPromptGuardTransport& m_transport;
    Recorder m_record;
    Cases m_cases;
    /// When the last answer with a part began. Two generations bound the memory: the older one is dropped when the newer one is full.
    std::map<PromptPart, TimePoint> m_answers;
    std::map<PromptPart, TimePoint> m_earlierAnswers;
};

}

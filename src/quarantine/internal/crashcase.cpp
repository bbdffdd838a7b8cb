#include "quarantine/crashcase.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Longest time that a report of a peer takes, by which what it tells seems to be later.
    constexpr auto reportDelay = Milliseconds(100);
    /// Targets that are lost together break connections within this time: silent ones are detected by probes that are a second apart.
    constexpr auto commonLossWindow = Seconds(1);
    /// Other targets with suspects on trial that do not crash within that time by coincidence.
    constexpr std::size_t targetsLostTogether = 2;

    /// True if the requests ran on the target when it ended, although clocks and reports differ a little.
    bool ranTogether(const Interruption& interruption, const Interruption& other)
    {
        return other.sentAt < interruption.endedAt && std::chrono::abs(other.endedAt - interruption.endedAt) <= reportDelay;
    }

    bool ranBesideConvicted(const CrashCases& cases, Fingerprint fingerprint, const Interruption& interruption)
    {
        return std::any_of(cases.begin(), cases.end(), [&](const auto& entry) {
            const auto* other = entry.second.interruptions.find(interruption.target);
            return entry.first != fingerprint && entry.second.convictedAt && other && ranTogether(interruption, *other);
        });
    }

    /// False if another suspect ran on the target too, with a trial or without, or if other targets were lost with it. A target on which another suspect was on
    /// trial may have been crashed by that one, so one such target proves nothing.
    bool wasCauseOnTrial(const CrashCases& cases, Fingerprint fingerprint, const Interruption& interruption)
    {
        const auto& own = cases.at(fingerprint).interruptions;
        // Other targets that were lost, and whether a suspect was on trial there.
        std::map<TargetIncarnation, bool> lostTogether;
        for (const auto& [other, otherCase] : cases) {
            if (other == fingerprint)
                continue;
            bool wasSuspected = otherCase.convictedAt || otherCase.interruptions.possibleCrashesElsewhere(interruption.target, interruption.endedAt) >= crashesToSuspect;
            for (const auto& otherInterruption : otherCase.interruptions.entries()) {
                if (otherInterruption.target == interruption.target) {
                    if (wasSuspected && ranTogether(interruption, otherInterruption))
                        return false;
                    continue;
                }
                bool together = std::chrono::abs(otherInterruption.endedAt - interruption.endedAt) <= commonLossWindow;
                if (together && otherInterruption.confirmed && !own.find(otherInterruption.target)) {
                    auto& onTrial = lostTogether[otherInterruption.target];
                    onTrial = onTrial || otherInterruption.onTrial;
                }
            }
        }
        bool lostWithoutTrial = std::any_of(lostTogether.begin(), lostTogether.end(), [](const auto& entry) { return !entry.second; });
        return !lostWithoutTrial && lostTogether.size() < targetsLostTogether;
    }

}

std::size_t CrashCase::weight() const
{
    auto possible = interruptions.possibleIncidents();
    return reports.size() + possible - std::min(possible, interruptions.confirmedIncidents());
}

std::size_t crashesOnTrial(const CrashCases& cases, Fingerprint fingerprint, TrialEvidence evidence)
{
    const auto& entries = cases.at(fingerprint).interruptions.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const Interruption& interruption) {
        bool counts = evidence == TrialEvidence::Confirmed ? interruption.confirmed : interruption.isEvidence();
        return counts && interruption.onTrial && wasCauseOnTrial(cases, fingerprint, interruption);
    }));
}

bool isExplainedByConvictions(const CrashCases& cases, Fingerprint fingerprint)
{
    bool ranOnTrial = false;
    for (const auto& interruption : cases.at(fingerprint).interruptions.entries()) {
        if (!interruption.onTrial || !interruption.isEvidence())
            continue;
        ranOnTrial = true;
        if (!ranBesideConvicted(cases, fingerprint, interruption))
            return false;
    }
    return ranOnTrial;
}

}

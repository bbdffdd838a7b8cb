#pragma once

#include "quarantine/interruptionlog.h"
#include "quarantine/quarantine.h"

#include <map>
#include <optional>

namespace guavaspan {

/// Targets that may have crashed after which a request runs on trial only. A single crash interrupts many requests.
inline constexpr std::size_t crashesToSuspect = 2;

/// The evidence against one request.
struct CrashCase {
    InterruptionLog interruptions;
    /// Crashes that count separately.
    std::vector<CrashReport> reports;
    TimePoint lastCrashAt;
    /// This instance observed one of the crashes, so it informs the others.
    bool local = false;
    std::optional<TimePoint> convictedAt;
    /// When it became known that several targets have crashed, also by a record in the store.
    std::optional<TimePoint> suspectedAt;

    /// Crashes that are counted and those that are likely.
    std::size_t weight() const;
};

using CrashCases = std::map<Fingerprint, CrashCase>;

/// Interruptions that count as crashes.
enum class TrialEvidence {
    /// Those of targets that have crashed, or may have.
    Possible,
    /// Only those of targets that have crashed.
    Confirmed,
};

/// Number of targets that the request crashed on trial, so that nothing else explains their crashes.
std::size_t crashesOnTrial(const CrashCases&, Fingerprint, TrialEvidence);

/// True if each target that the request may have crashed on trial also ran a request that is convicted by now.
bool isExplainedByConvictions(const CrashCases&, Fingerprint);

}

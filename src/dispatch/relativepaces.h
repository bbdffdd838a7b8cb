#pragma once

#include "dispatch/pacetracker.h"

#include <vector>

namespace guavaspan {

/// Which pace of a service's targets is compared.
enum class PaceKind {
    Events,
    PlainAnswers,
};

/// Compares the paces of a service's targets with the usual one, which is their median.
class RelativePaces {
public:
    /// Without a tracker all targets count as equal.
    RelativePaces(const PaceTracker*, PaceKind, const std::vector<const TargetEntry*>& targets);

    /// Milliseconds per event, or for each plain answer, at a target of the usual pace; 0 if too few paces are known.
    double usualMs() const { return m_usualMs; }

    /// How many times slower than usual a target is; 1 for those whose pace is not known or near the usual one.
    double of(const TargetEntry&) const;

private:
    double eventPace(const TargetPace&) const;
    double answerPace(const TargetPace&) const;

    const PaceTracker* m_tracker;
    PaceKind m_kind;
    double m_usualMs = 0;
};

}
